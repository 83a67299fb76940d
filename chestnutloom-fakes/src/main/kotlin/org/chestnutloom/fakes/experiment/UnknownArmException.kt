package org.chestnutloom.fakes.experiment

/** Thrown if there is no arm called [name]. */
internal class UnknownArmException(
    val name: String,
) : Exception("unknown arm $name")
