package org.chestnutloom.fakes.experiment

import kotlinx.serialization.Serializable

/** One set of policies that an experiment compares, as flags of the daemons. */
@Serializable
internal data class Arm(
    val name: String,
    val gatewayArguments: List<String> = emptyList(),
    val sidecarArguments: List<String> = emptyList(),
)
