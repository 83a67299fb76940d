package org.chestnutloom.fakes.launch

import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A process that a [ProcessLauncher] started. */
public interface LaunchedProcess {
    public val name: String

    public val pid: Long

    /** The file that holds what the process wrote to its standard output and error. */
    public val output: Path

    public val isAlive: Boolean

    /**
     * Waits for the first whole line of the output that tells of [event] and meets [condition].
     *
     * @throws EventNotSeenException when the process ends or [timeout] passes first
     */
    public suspend fun awaitEvent(
        event: String,
        timeout: Duration = DEFAULT_TIMEOUT,
        condition: (EventLine) -> Boolean = { true },
    ): EventLine

    /** Waits until the process says by `event=listening` that it listens, and returns that line. */
    public suspend fun awaitListening(timeout: Duration = DEFAULT_TIMEOUT): EventLine = awaitEvent("listening", timeout)

    /** Ends the process at once by SIGKILL. */
    public fun kill9()

    /** Freezes the process by SIGSTOP. */
    public fun stop()

    /** Lets a frozen process go on by SIGCONT. */
    public fun cont()

    /** Asks the process to end by SIGTERM. */
    public fun term()

    /**
     * Waits until the process has ended, and returns its exit code.
     *
     * @throws ProcessStillRunningException when [timeout] passes first
     */
    public suspend fun awaitExit(timeout: Duration = DEFAULT_TIMEOUT): Int

    public companion object {
        /** How long a wait lasts unless the caller says otherwise. */
        public val DEFAULT_TIMEOUT: Duration = 30.seconds
    }
}
