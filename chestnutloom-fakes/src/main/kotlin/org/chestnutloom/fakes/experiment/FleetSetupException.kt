package org.chestnutloom.fakes.experiment

/** Thrown if the fleet of an experiment cannot be set up. */
internal class FleetSetupException(
    problem: String,
) : Exception(problem)
