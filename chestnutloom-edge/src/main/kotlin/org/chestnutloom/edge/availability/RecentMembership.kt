package org.chestnutloom.edge.availability

import org.chestnutloom.id.GatewayId
import org.chestnutloom.time.Clock
import kotlin.time.Duration.Companion.seconds

/**
 * The registered gateways now and in the recent past; confined to the event loop.
 *
 * Gateways learn of a change at different times. A gateway that uses the smallest of its shares in the views of the
 * handover period never uses more than it has in the view of any other gateway, so the shares never exceed the whole.
 */
internal class RecentMembership(
    private val self: GatewayId,
    private val clock: Clock,
) {
    private var current = MembershipView(self, emptySet())
    private val previous = ArrayDeque<MembershipView>()

    /** Replaces the members by [members], all registered gateways; empty if they are not known. */
    fun update(members: Set<GatewayId>) {
        if (members == current.members) return
        current.endedAt = clock.elapsed()
        previous.addLast(current)
        dropExpired()
        current = MembershipView(self, members)
    }

    /** Returns the views that this gateway has had within the handover period. */
    fun recentViews(): List<MembershipView> {
        dropExpired()
        return if (previous.isEmpty()) listOf(current) else previous + current
    }

    private fun dropExpired() {
        val start = clock.elapsed() - HANDOVER_PERIOD
        while (previous.firstOrNull().let { it != null && it.endedAt!! < start }) previous.removeFirst()
    }

    private companion object {
        /**
         * A gateway that reaches the store learns of a change within five seconds. The bound on requests to cold
         * targets is for windows of one second, which must not contain the bursts of two successive holders of a share.
         */
        private val HANDOVER_PERIOD = 6.seconds
    }
}
