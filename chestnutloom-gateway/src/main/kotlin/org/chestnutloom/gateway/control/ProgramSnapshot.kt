package org.chestnutloom.gateway.control

/** The row of one program as the journal knows it, without its state. */
internal data class ProgramSnapshot(
    val epoch: Long,
    val version: Long,
    val turns: Map<Int, TurnPosition>,
)
