package org.chestnutloom.fakes

/** A whole answer of a stand-in. */
internal data class StandInResponse(
    val status: Int,
    val body: String,
)
