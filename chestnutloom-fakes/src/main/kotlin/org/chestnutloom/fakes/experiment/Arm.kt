package org.chestnutloom.fakes.experiment

import kotlinx.serialization.Serializable

/** One configuration that an experiment compares, as extra flags of the daemons. */
@Serializable
internal data class Arm(
    val name: String,
    val gatewayArguments: List<String> = emptyList(),
    val sidecarArguments: List<String> = emptyList(),
)
