package org.chestnutloom.fakes.launch

/** Starts JVM processes and kills those that are still running when the launcher is closed. */
public interface ProcessLauncher : AutoCloseable {
    /** Starts the process that [spec] describes, without waiting until it is ready. */
    public fun start(spec: ProcessSpec): LaunchedProcess

    /** Kills every process that is still running and waits until all have ended. */
    override fun close()
}
