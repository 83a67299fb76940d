package org.chestnutloom.edge.turn

import org.chestnutloom.id.CallId
import org.chestnutloom.id.GatewayRun
import org.chestnutloom.wire.message.CopyTurn

/** The other gateways, which hold replicas of turns that are not in the store yet. */
public interface TurnPeers {
    /** The sequence number of the last heartbeat that this gateway sent. */
    public val ownHeartbeatSequence: Long

    /** Returns the reachable gateways; those least likely to fail together with this one come first. */
    public fun reachablePeers(): List<GatewayRun>

    /** Returns the write progress in the last heartbeat of [run], or null while it is unreachable. */
    public fun writerProgress(run: GatewayRun): WriterProgress?

    /** Sends a replica of [turn] to [peer] and returns whether it was accepted. */
    public suspend fun replicate(
        peer: GatewayRun,
        turn: CopyTurn,
    ): Boolean

    /** Asks the other gateways for a turn that the store does not hold. */
    public suspend fun find(turn: CallId): TurnSearch
}
