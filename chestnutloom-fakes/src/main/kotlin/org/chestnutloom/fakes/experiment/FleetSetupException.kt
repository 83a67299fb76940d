package org.chestnutloom.fakes.experiment

/** Tells that the processes of an experiment could not be set up. */
internal class FleetSetupException(
    problem: String,
) : Exception(problem)
