package org.chestnutloom.fakes.platform

import kotlinx.serialization.Serializable

/** The request to set the lag of the VM list, in milliseconds. */
@Serializable
internal data class Lag(
    val lagMs: Long,
)
