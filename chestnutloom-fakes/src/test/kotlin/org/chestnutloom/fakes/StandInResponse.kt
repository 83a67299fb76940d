package org.chestnutloom.fakes

/** A complete response of a stand-in. */
internal data class StandInResponse(
    val status: Int,
    val body: String,
)
