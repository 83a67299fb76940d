package org.chestnutloom.fakes.platform

import kotlinx.serialization.Serializable

/** How far the VM list lags behind what is so, in milliseconds. */
@Serializable
internal data class Lag(
    val lagMs: Long,
)
