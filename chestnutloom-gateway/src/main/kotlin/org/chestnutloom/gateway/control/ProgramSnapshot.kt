package org.chestnutloom.gateway.control

/** The last known row of a program, without its state. */
internal data class ProgramSnapshot(
    val epoch: Long,
    val version: Long,
    val turns: Map<Int, TurnPosition>,
)
