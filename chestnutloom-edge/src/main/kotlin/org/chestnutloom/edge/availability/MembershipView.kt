package org.chestnutloom.edge.availability

import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.TargetId
import org.chestnutloom.membership.hash64
import kotlin.time.Duration

/**
 * The registered gateways [members] as seen by [self] until [endedAt], on the monotonic clock; null while current.
 */
internal class MembershipView(
    private val self: GatewayId,
    val members: Set<GatewayId>,
) {
    var endedAt: Duration? = null

    private val ranks = HashMap<TargetId, Int>()

    /** Returns the position of this gateway among those that may send to [target], from 0, or null if it has none. */
    fun rankFor(target: TargetId): Int? {
        if (self !in members) return null
        if (ranks.size > MAX_RANKS) ranks.clear()
        return ranks.getOrPut(target) {
            val own = scoreOf(self, target)
            members.count { scoreOf(it, target) > own }
        }
    }

    private fun scoreOf(
        gateway: GatewayId,
        target: TargetId,
    ): Long = hash64("${target.value}/${gateway.value}")

    private companion object {
        /** Bounds the memory if targets come and go while the members stay the same. */
        private const val MAX_RANKS = 1_000
    }
}
