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
 * @property pending the turns in progress when the claim was written whose spending can be read once they are stored
 * @property generation differs between claims that the incarnation made before and after it evicted the program from memory
 */
@Serializable
public data class BudgetClaim(
    public val gateway: GatewayId,
    public val incarnation: Incarnation,
    public val tokens: Long,
    public val spentTokens: Long = 0,
    public val pending: List<PendingTurn> = emptyList(),
    public val generation: Long = 0,
) {
    /** The incarnation that holds the claim. */
    internal val holder: BudgetHolder
        get() = BudgetHolder(gateway, incarnation)

    /** What the turns in [pending] may spend. */
    internal val pendingTokens: Long
        get() = pending.sumOf { it.tokens }

    /** The tokens of which only the holder knows whether they are spent. */
    internal val aheadTokens: Long
        get() = tokens - spentTokens - pendingTokens

    /** Returns whether this is the claim of [holder] in [generation]. */
    internal fun isOf(
        holder: BudgetHolder,
        generation: Long,
    ): Boolean = this.holder == holder && this.generation == generation

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
