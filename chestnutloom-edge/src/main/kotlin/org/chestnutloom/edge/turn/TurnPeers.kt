package org.chestnutloom.edge.turn

import org.chestnutloom.id.CallId

/** The other gateways, which may have turns in their caches that cannot be read from the store at the moment. */
public fun interface TurnPeers {
    /** Returns the encoded [turn] if a reachable gateway has it, otherwise null. */
    public suspend fun find(turn: CallId): ByteArray?
}
