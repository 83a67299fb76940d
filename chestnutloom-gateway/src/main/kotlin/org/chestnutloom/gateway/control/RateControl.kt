package org.chestnutloom.gateway.control

import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.GatewayId
import org.chestnutloom.wire.message.RequestRights
import org.chestnutloom.wire.message.RightsMoved

/** Admission control with its periodic maintenance and lifecycle. */
internal interface RateControl : AdmissionControl {
    /** Lends tokens to gateway [peer]; the reply may contain fewer tokens than requested, or none. */
    fun lend(
        peer: GatewayId,
        request: RequestRights,
    ): RightsMoved

    /** Rereads the rights of [account] after another gateway has transferred a share to this one. */
    suspend fun refresh(account: ClientAccountId)

    /** Refreshes and rebalances shares; called periodically. */
    suspend fun maintain()

    /** Releases all rights in a graceful shutdown. */
    suspend fun releaseAll()

    /** Discards all rights after the lease was lost. */
    fun reset()
}
