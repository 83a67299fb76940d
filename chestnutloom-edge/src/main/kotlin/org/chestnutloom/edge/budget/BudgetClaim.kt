package org.chestnutloom.edge.budget

import kotlinx.serialization.Serializable
import org.chestnutloom.id.CallId
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.Incarnation

/**
 * The part of a program's budget that one incarnation of a gateway has claimed.
 *
 * @property tokens tokens that the gateway has already spent plus those that it may still spend
 * @property spentTokens tokens that the gateway is known to have spent; rows of earlier builds do not record them
 * @property pending the turns in progress when the claim was written, which account for the rest of [tokens]; claims of
 *   earlier builds name none and may exceed what turns need
 */
@Serializable
public data class BudgetClaim(
    public val gateway: GatewayId,
    public val incarnation: Incarnation,
    public val tokens: Long,
    public val spentTokens: Long = 0,
    public val pending: List<PendingTurn> = emptyList(),
) {
    /** The incarnation that holds the claim. */
    internal val holder: BudgetHolder
        get() = BudgetHolder(gateway, incarnation)

    /** Returns this claim with the tokens that turns in [spentByTurn] spent, in place of the most that they may spend. */
    internal fun settled(spentByTurn: Map<CallId, Long>): BudgetClaim {
        val (ended, others) = pending.partition { it.turn in spentByTurn }
        if (ended.isEmpty()) return this
        val spent = ended.sumOf { minOf(it.tokens, spentByTurn.getValue(it.turn)) }
        return copy(
            tokens = tokens - ended.sumOf { it.tokens } + spent,
            spentTokens = spentTokens + spent,
            pending = others,
        )
    }
}
