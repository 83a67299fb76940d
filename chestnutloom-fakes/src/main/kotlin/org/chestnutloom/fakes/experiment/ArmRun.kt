package org.chestnutloom.fakes.experiment

import kotlinx.serialization.Serializable
import org.chestnutloom.fakes.load.LoadResult

/** One run of one arm with one seed. */
@Serializable
internal data class ArmRun(
    val arm: String,
    val seed: Long,
    val load: LoadResult,
    val cost: ControlCost,
)
