package org.chestnutloom.fakes.launch

import kotlin.time.Duration

/** Thrown if a process does not end within the timeout. */
public class ProcessStillRunningException(
    public val process: String,
    public val timeout: Duration,
) : Exception("$process is still running after $timeout")
