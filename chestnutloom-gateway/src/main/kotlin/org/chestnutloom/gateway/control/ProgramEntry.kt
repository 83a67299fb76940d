package org.chestnutloom.gateway.control

import kotlinx.serialization.json.JsonElement

/**
 * A program in the journal's cache.
 *
 * @property epoch the ownership epoch in which the row was read; the entry is valid only in that epoch
 * @property version the row's version, or `Condition.ABSENT` if there is no row
 * @property durableState the program's state in the store, or null if the store has no such program
 */
internal class ProgramEntry(
    val epoch: Long,
    var version: Long,
    var durableState: JsonElement?,
    val turns: MutableMap<Int, TurnPosition>,
) {
    /** The changes that are not yet durable, oldest first. */
    val pending = ArrayDeque<PendingChange>()
}
