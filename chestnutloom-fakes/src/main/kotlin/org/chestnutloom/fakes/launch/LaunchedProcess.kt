package org.chestnutloom.fakes.launch

import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A process that a [ProcessLauncher] started. */
public interface LaunchedProcess {
    public val name: String

    public val pid: Long

    /** The file that receives the standard output and error of the process. */
    public val output: Path

    public val isAlive: Boolean

    /**
     * Waits for the first complete output line that reports [event] and meets [condition].
     *
     * @throws EventNotSeenException if the process ends or [timeout] expires first
     */
    public suspend fun awaitEvent(
        event: String,
        timeout: Duration = DEFAULT_TIMEOUT,
        condition: (EventLine) -> Boolean = { true },
    ): EventLine

    /** Waits until the process logs `event=listening`, and returns that line. */
    public suspend fun awaitListening(timeout: Duration = DEFAULT_TIMEOUT): EventLine = awaitEvent("listening", timeout)

    /** Sends SIGKILL. */
    public fun kill9()

    /** Suspends the process with SIGSTOP. */
    public fun stop()

    /** Resumes a suspended process with SIGCONT. */
    public fun cont()

    /** Requests termination with SIGTERM. */
    public fun term()

    /**
     * Waits until the process has ended, and returns its exit code.
     *
     * @throws ProcessStillRunningException if [timeout] expires first
     */
    public suspend fun awaitExit(timeout: Duration = DEFAULT_TIMEOUT): Int

    public companion object {
        /** The default timeout of the wait functions. */
        public val DEFAULT_TIMEOUT: Duration = 30.seconds
    }
}
