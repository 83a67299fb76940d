package org.chestnutloom.gateway.control

import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.GatewayId
import org.chestnutloom.wire.message.RequestRights
import org.chestnutloom.wire.message.RightsMoved

/** Admission with the upkeep that it needs. */
internal interface RateControl : AdmissionControl {
    /** Lends tokens to another gateway. */
    fun lend(
        peer: GatewayId,
        request: RequestRights,
    ): RightsMoved

    /** Reads the rights of [account] again, because another gateway gave a share of them. */
    suspend fun refresh(account: ClientAccountId)

    /** Does the periodic upkeep of shares. */
    suspend fun maintain()

    /** Gives all rights back in a planned stop. */
    suspend fun releaseAll()

    /** Drops all rights after the lease was lost. */
    fun reset()
}
