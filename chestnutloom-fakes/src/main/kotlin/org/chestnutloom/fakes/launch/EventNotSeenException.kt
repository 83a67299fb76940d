package org.chestnutloom.fakes.launch

/**
 * Thrown if a process ends, or a timeout expires, before the process writes the awaited event.
 *
 * @property lastOutput the last part of its output
 */
public class EventNotSeenException(
    public val process: String,
    public val event: String,
    public val exitCode: Int?,
    public val lastOutput: String,
) : Exception("$process did not write event=$event (exit code $exitCode); its last output:\n$lastOutput")
