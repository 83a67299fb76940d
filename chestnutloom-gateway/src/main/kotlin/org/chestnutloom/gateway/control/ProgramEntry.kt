package org.chestnutloom.gateway.control

import kotlinx.serialization.json.JsonElement

/**
 * One program in the journal's cache.
 *
 * @property epoch the epoch of ownership under which the row was read; an entry of another epoch is not used
 * @property version the row's version, or the one that stands for no row
 * @property durable the program's state in the store, or null when the program is not there
 */
internal class ProgramEntry(
    val epoch: Long,
    var version: Long,
    var durable: JsonElement?,
    val turns: MutableMap<Int, TurnPosition>,
) {
    /** Changes that are not durable yet, oldest first. */
    val pending = ArrayDeque<PendingChange>()
}
