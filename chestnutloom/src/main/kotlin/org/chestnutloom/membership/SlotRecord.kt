package org.chestnutloom.membership

import kotlinx.serialization.Serializable
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.Incarnation

/**
 * The row `slot/{environment}/{n}`: who owns the programs of one slot.
 *
 * @property owner the owner, or null when the slot was released
 * @property incarnation the owner's lease incarnation
 * @property epoch the fencing number, which grows with each change of owner
 */
@Serializable
public data class SlotRecord(
    public val owner: GatewayId?,
    public val incarnation: Incarnation?,
    public val epoch: Long,
) {
    public companion object {
        /** Returns the key of the row of [slot]. */
        public fun rowKey(
            environment: String,
            slot: Int,
        ): String = prefix(environment) + slot

        /** Returns the common start of the keys of all slot rows of [environment]. */
        public fun prefix(environment: String): String = "slot/$environment/"
    }
}
