package org.chestnutloom.fakes.experiment

import kotlinx.serialization.Serializable

/** The runs of an experiment with one workload. */
@Serializable
internal data class ExperimentResult(
    val workload: String,
    val seeds: List<Long>,
    val arms: List<Arm>,
    val runs: List<ArmRun>,
) {
    /** Returns the runs of the arm called [name]. */
    fun runsOf(name: String): List<ArmRun> = runs.filter { it.arm == name }
}
