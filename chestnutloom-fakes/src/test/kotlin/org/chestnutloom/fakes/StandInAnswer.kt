package org.chestnutloom.fakes

/** A whole answer of a stand-in. */
internal data class StandInAnswer(
    val status: Int,
    val body: String,
)
