package org.chestnutloom.daemon

import ch.qos.logback.classic.LoggerContext
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import org.chestnutloom.common.flag.UsageError
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.daemon.log.DaemonLogConfigurator
import org.slf4j.LoggerFactory
import kotlin.system.exitProcess

/** The exit code when the node cannot be started. */
internal const val EXIT_START_FAILED: Int = 1

/** The exit code when a graceful shutdown failed. */
internal const val EXIT_STOP_FAILED: Int = 1

/** The exit code when the command line is invalid. */
internal const val EXIT_USAGE: Int = 2

/** Runs the node described by [args] until the process receives SIGTERM or SIGINT, then stops it and exits. */
internal fun runDaemon(
    parser: LaunchParser,
    args: List<String>,
    reloadSignal: ReloadSignal,
): Nothing {
    DaemonLogConfigurator.select()
    // Otherwise the HTTP server aborts open streams on SIGTERM before the node has completed them.
    System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
    val config = parser.parse(args, System.getenv()).fold({ exitWithUsageErrors(it) }, { it })
    val daemon = startOrExit(config)
    reloadSignal.onReload { daemon.reload() }
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

/** Stops on SIGTERM or SIGINT, then halts: on a normal exit the JVM would report the signal in its exit code. */
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

/** Flushes the queued log lines. */
private fun flushLogs() {
    (LoggerFactory.getILoggerFactory() as? LoggerContext)?.stop()
}

/** Returns the logger, which must not be created before the configuration of the logs is selected. */
private fun daemonLogger() = KotlinLogging.logger("org.chestnutloom.daemon")
