package org.chestnutloom.fakes.load

/** Aborts a program that cannot continue; [reason] says why. */
internal class ProgramFailedException(
    val reason: String,
) : Exception(reason)
