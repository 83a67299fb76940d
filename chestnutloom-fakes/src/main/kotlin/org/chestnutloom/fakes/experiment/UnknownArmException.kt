package org.chestnutloom.fakes.experiment

/** Tells that an experiment has no arm of this name. */
internal class UnknownArmException(
    val name: String,
) : Exception("there is no arm called $name")
