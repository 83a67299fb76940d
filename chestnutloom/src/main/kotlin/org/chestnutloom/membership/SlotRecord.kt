package org.chestnutloom.membership

import kotlinx.serialization.Serializable
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.Incarnation

/**
 * The row `slot/{environment}/{n}`: the owner of the programs of one slot.
 *
 * @property owner the owning gateway, or null if the slot was released
 * @property incarnation the owner's lease incarnation
 * @property epoch the fencing token, incremented by each change of owner
 */
@Serializable
public data class SlotRecord(
    public val owner: GatewayId?,
    public val incarnation: Incarnation?,
    public val epoch: Long,
) {
    public companion object {
        /** Returns the row key of [slot]. */
        public fun rowKey(
            environment: String,
            slot: Int,
        ): String = prefix(environment) + slot

        /** Returns the key prefix of all slots of [environment]. */
        public fun prefix(environment: String): String = "slot/$environment/"
    }
}
