package org.chestnutloom.fakes.launch

/**
 * Tells that a process did not write an awaited event.
 *
 * @property lastOutput the end of what it wrote instead
 */
public class EventNotSeenException(
    public val process: String,
    public val event: String,
    public val exitCode: Int?,
    public val lastOutput: String,
) : Exception("$process did not write event=$event (exit code $exitCode); its last output:\n$lastOutput")
