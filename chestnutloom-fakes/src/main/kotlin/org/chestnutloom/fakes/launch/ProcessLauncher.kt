package org.chestnutloom.fakes.launch

/** Starts JVM processes, and ends every one that still runs when it is closed. */
public interface ProcessLauncher : AutoCloseable {
    /** Starts the process that [spec] describes, and returns at once. */
    public fun start(spec: ProcessSpec): LaunchedProcess

    /** Kills every process that still runs and waits until all have ended. */
    override fun close()
}
