package org.chestnutloom.fakes.load

/** Ends a program that cannot go on, for [reason]. */
internal class ProgramFailedException(
    val reason: String,
) : Exception(reason)
