package org.chestnutloom.lease

import kotlinx.serialization.Serializable
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.Incarnation

/**
 * The row `gateway/{environment}/{id}`: the lease of one gateway.
 *
 * @property incarnation the run of the process, with a suffix if that run reacquired its lease after being fenced
 * @property host the IP address for links
 * @property port the TCP port for links
 * @property renewals incremented by each write of the holder and preserved by fencing
 * @property configVersion the configuration version that the gateway has applied
 * @property keyVersion the latest key change that the gateway has applied
 * @property previousIncarnation the incarnation that held the lease before, or null
 * @property previousRenewals the last value of [renewals] written by [previousIncarnation]
 */
@Serializable
public data class LeaseRecord(
    public val id: GatewayId,
    public val incarnation: Incarnation,
    public val host: String,
    public val port: Int,
    public val failureDomain: String,
    public val state: LeaseState = LeaseState.ACTIVE,
    public val renewals: Long = 0,
    public val configVersion: Long = 0,
    public val keyVersion: Long = 0,
    public val previousIncarnation: Incarnation? = null,
    public val previousRenewals: Long = 0,
) {
    public companion object {
        /** Returns the row key of the lease of gateway [id]. */
        public fun rowKey(
            environment: String,
            id: GatewayId,
        ): String = prefix(environment) + id.value

        /** Returns the key prefix of all leases of [environment]. */
        public fun prefix(environment: String): String = "gateway/$environment/"
    }
}
