package org.chestnutloom.lease

import kotlinx.serialization.Serializable
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.Incarnation

/**
 * The row `gateway/{environment}/{id}`: the lease of one gateway.
 *
 * @property incarnation the run of the process, with a suffix when that run acquired its lease again after a fencing
 * @property host the IP number for links
 * @property port the TCP port for links
 * @property renewals grows by one with each write by the holder, and is kept by a fencing
 * @property configVersion the configuration version that the gateway has in force
 * @property keyVersion the newest key change that the gateway has in force
 * @property previousIncarnation the incarnation that held the row before, or null
 * @property previousRenewals the value of [renewals] that the incarnation before reached
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
        /** Returns the key of the lease row of gateway [id]. */
        public fun rowKey(
            environment: String,
            id: GatewayId,
        ): String = prefix(environment) + id.value

        /** Returns the common start of the keys of all lease rows of [environment]. */
        public fun prefix(environment: String): String = "gateway/$environment/"
    }
}
