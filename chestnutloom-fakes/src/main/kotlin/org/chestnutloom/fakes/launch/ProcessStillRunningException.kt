package org.chestnutloom.fakes.launch

import kotlin.time.Duration

/** Tells that a process did not end in time. */
public class ProcessStillRunningException(
    public val process: String,
    public val timeout: Duration,
) : Exception("$process still runs after $timeout")
