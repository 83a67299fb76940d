package org.chestnutloom.fakes.launch

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import java.nio.file.Files
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A process of the local operating system. */
internal class OsProcess(
    override val name: String,
    override val output: Path,
    private val process: Process,
) : LaunchedProcess {
    override val pid: Long = process.pid()

    override val isAlive: Boolean
        get() = process.isAlive

    override suspend fun awaitEvent(
        event: String,
        timeout: Duration,
        condition: (EventLine) -> Boolean,
    ): EventLine =
        withContext(Dispatchers.IO) {
            withTimeoutOrNull(timeout) { pollEvent { it.event == event && condition(it) } } ?: throw eventNotSeen(event)
        }

    override fun kill9() {
        process.destroyForcibly()
    }

    override fun stop() {
        signal("STOP")
    }

    override fun cont() {
        signal("CONT")
    }

    override fun term() {
        process.destroy()
    }

    override suspend fun awaitExit(timeout: Duration): Int =
        withContext(Dispatchers.IO) {
            withTimeoutOrNull(timeout) { process.onExit().await().exitValue() }
                ?: throw ProcessStillRunningException(name, timeout)
        }

    /** Waits without a timeout until the process has ended. */
    fun join() {
        process.waitFor()
    }

    /** Returns the awaited event, or null if the process ended without writing it. */
    private suspend fun pollEvent(matches: (EventLine) -> Boolean): EventLine? {
        while (true) {
            val wasAlive = isAlive
            val found = completeLines().map(EventLine::parse).firstOrNull(matches)
            if (found != null || !wasAlive) return found
            delay(POLL_INTERVAL)
        }
    }

    /** Returns the lines written so far, without an incomplete last line. */
    private fun completeLines(): Sequence<String> =
        Files
            .readString(output)
            .substringBeforeLast('\n', missingDelimiterValue = "")
            .lineSequence()

    private fun eventNotSeen(event: String): EventNotSeenException {
        val exitCode = if (isAlive) null else process.exitValue()
        return EventNotSeenException(name, event, exitCode, Files.readString(output).takeLast(LAST_OUTPUT_CHARACTERS))
    }

    private fun signal(signal: String) {
        val exitCode = ProcessBuilder("kill", "-$signal", pid.toString()).start().waitFor()
        if (exitCode != 0) throw SignalException(name, signal, exitCode)
    }

    private companion object {
        val POLL_INTERVAL = 20.milliseconds
        const val LAST_OUTPUT_CHARACTERS = 2_000
    }
}
