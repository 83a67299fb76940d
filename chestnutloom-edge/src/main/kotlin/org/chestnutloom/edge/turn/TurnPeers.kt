package org.chestnutloom.edge.turn

import org.chestnutloom.id.CallId
import org.chestnutloom.id.GatewayRun
import org.chestnutloom.wire.message.CopyTurn

/** The other gateways, as far as turns that the store cannot take are concerned. */
public interface TurnPeers {
    /** The number of the newest beat that this gateway sent. */
    public val ownHeartbeatSequence: Long

    /** Returns the runs that are heard now, those first that are the least likely to be lost together with this one. */
    public fun reachablePeers(): List<GatewayRun>

    /** Returns what [run] said last of the turns that it has to write, or null while it is not heard. */
    public fun writerProgress(run: GatewayRun): WriterProgress?

    /** Has [keeper] keep a turn, and returns whether it does. */
    public suspend fun replicate(
        peer: GatewayRun,
        turn: CopyTurn,
    ): Boolean

    /** Asks the other gateways for a turn that the store does not hold. */
    public suspend fun find(turn: CallId): TurnSearch
}
