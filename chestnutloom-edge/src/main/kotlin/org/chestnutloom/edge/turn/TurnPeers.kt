package org.chestnutloom.edge.turn

import org.chestnutloom.id.CallId

/** The other gateways, as far as turns that the store cannot take are concerned. */
public interface TurnPeers {
    /** Has another gateway keep the encoded [record], and returns whether one does. */
    public suspend fun copy(record: ByteArray): Boolean

    /** Asks the other gateways for a turn that the store does not hold. */
    public suspend fun find(turn: CallId): TurnSearch
}
