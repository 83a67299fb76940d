package org.chestnutloom.fakes.launch

/** Tells that a process could not be sent a signal. */
public class SignalException(
    public val process: String,
    public val signal: String,
    public val exitCode: Int,
) : Exception("$process could not be sent SIG$signal (exit code $exitCode)")
