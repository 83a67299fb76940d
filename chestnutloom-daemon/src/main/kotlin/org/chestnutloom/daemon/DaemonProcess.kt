package org.chestnutloom.daemon

import ch.qos.logback.classic.LoggerContext
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import org.chestnutloom.common.flag.UsageError
import org.chestnutloom.common.log.warnEvent
import org.slf4j.LoggerFactory
import sun.misc.Signal
import kotlin.system.exitProcess

/** The exit code when the node cannot be started. */
internal const val EXIT_START_FAILED: Int = 1

/** The exit code when a planned stop met a defect. */
internal const val EXIT_STOP_FAILED: Int = 1

/** The exit code when the command line is faulty. */
internal const val EXIT_USAGE: Int = 2

/** Runs the node that [args] ask for until the process is told to stop, and ends the process. */
internal fun runDaemon(
    parser: LaunchParser,
    args: List<String>,
): Nothing {
    System.setProperty("logback.configurationFile", "logback-daemon.xml")
    // Keeps the HTTP server from cutting open streams on SIGTERM by itself, before the node has finished them.
    System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
    val config = parser.parse(args, System.getenv()).fold({ exitWithUsageErrors(it) }, { it })
    val daemon = startOrExit(config)
    onReloadSignal { daemon.reload() }
    Runtime.getRuntime().addShutdownHook(Thread { stopAndHalt(daemon) })
    runBlocking { awaitCancellation() }
}

private fun exitWithUsageErrors(errors: List<UsageError>): Nothing {
    errors.forEach { System.err.println(it) }
    exitProcess(EXIT_USAGE)
}

private fun startOrExit(config: LaunchConfig): Daemon =
    try {
        val daemon = Daemon(config)
        runBlocking { daemon.start() }
        daemon
    } catch (e: Exception) {
        daemonLogger().warnEvent("start_failed", "cause" to e.javaClass.simpleName, "detail" to e.message.orEmpty())
        flushLogs()
        exitProcess(EXIT_START_FAILED)
    }

/** Runs [reload] on SIGHUP, which would end the process otherwise. */
private fun onReloadSignal(reload: () -> Unit) {
    Signal.handle(Signal("HUP")) { reload() }
}

/** Stops on SIGTERM or SIGINT; halting gives exit code 0 where the runtime would report the signal. */
private fun stopAndHalt(daemon: Daemon) {
    val exitCode =
        try {
            runBlocking { daemon.stop() }
            0
        } catch (e: Exception) {
            daemonLogger().warnEvent("stop_failed", "cause" to e.javaClass.simpleName, "detail" to e.message.orEmpty())
            EXIT_STOP_FAILED
        }
    flushLogs()
    Runtime.getRuntime().halt(exitCode)
}

/** Waits until the lines that are queued have been written. */
private fun flushLogs() {
    (LoggerFactory.getILoggerFactory() as? LoggerContext)?.stop()
}

/** Returns the logger, which may be made only after its configuration was named. */
private fun daemonLogger() = KotlinLogging.logger("org.chestnutloom.daemon")
