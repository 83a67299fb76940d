package org.chestnutloom.fakes.launch

/** Thrown if a signal cannot be sent to a process. */
public class SignalException(
    public val process: String,
    public val signal: String,
    public val exitCode: Int,
) : Exception("cannot send SIG$signal to $process (kill returned exit code $exitCode)")
