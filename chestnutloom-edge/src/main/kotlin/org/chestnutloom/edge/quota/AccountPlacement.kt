package org.chestnutloom.edge.quota

import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.GatewayId

/** Tells which gateways enforce the rate limit of an account. */
public interface AccountPlacement {
    /** Returns the gateways that enforce the limit of [account], the preferred one first; empty while unknown. */
    public fun replicasOf(account: ClientAccountId): List<GatewayId>

    /** Whether heartbeats of the other [gateway] are missing. */
    public fun isUnresponsive(gateway: GatewayId): Boolean
}
