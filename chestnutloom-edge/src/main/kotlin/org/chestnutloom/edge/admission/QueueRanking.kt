package org.chestnutloom.edge.admission

import org.chestnutloom.edge.target.QueueObserver
import org.chestnutloom.edge.target.QueueRank
import org.chestnutloom.edge.target.QueuedRequest
import org.chestnutloom.edge.target.Target
import org.chestnutloom.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Ranks requests by slack and fairness, and leaves slots to more urgent requests of other gateways. */
internal class QueueRanking(
    private val accounts: AccountWork,
    private val waiting: WaitingWork,
    private val peers: PeerWork,
    private val clock: Clock,
) : QueueObserver {
    override fun rank(request: QueuedRequest) {
        val now = clock.elapsed()
        val required = request.requirements
        val slack = (required.programDeadline ?: required.waitUntil) - now - request.serviceMs.milliseconds
        val isLate = required.programDeadline != null && slack < Duration.ZERO
        request.rank =
            QueueRank(
                isStarving = now - request.queuedAt > starvationBound(request, isLate),
                isLate = isLate,
                isOverShare = accounts.isOverShare(required.account),
                slackMs = slack.inWholeMilliseconds,
            )
    }

    override fun added(request: QueuedRequest) {
        waiting.added(request)
        accounts.add(request.requirements.account, request.serviceMs)
    }

    override fun removed(request: QueuedRequest) {
        waiting.removed(request)
        accounts.remove(request.requirements.account, request.serviceMs)
    }

    override fun mustLeaveSlot(
        request: QueuedRequest,
        usable: List<Target>,
    ): Boolean {
        val required = request.requirements
        // Lower priorities are reported together, so that a request does not leave a slot to others of its own priority.
        val priority = required.priority.coerceAtMost(WaitingWork.PRIORITIES - 1)
        if (peers.waitingBeforeMs(required.isModelCall, priority) == 0L) return false
        if (clock.elapsed() - request.queuedAt > MAX_HOLD) return false
        return usable.sumOf { (it.entry.slots - it.load).coerceAtLeast(0) } <= 1
    }

    private fun starvationBound(
        request: QueuedRequest,
        isLate: Boolean,
    ): Duration {
        val allowed = request.requirements.waitUntil - request.queuedAt
        return allowed * if (isLate) LATE_STARVATION_FRACTION else STARVATION_FRACTION
    }

    companion object {
        /** The order of ranked requests. */
        val ORDER: Comparator<QueuedRequest> =
            compareBy(
                { !it.rank.isStarving },
                { if (it.rank.isStarving) it.queuedAt else Duration.ZERO },
                { it.requirements.priority },
                { it.requirements.startsProgram },
                { it.rank.isLate },
                { it.rank.isOverShare },
                { it.rank.slackMs },
                { it.arrival },
            )

        /** The part of its time after which a request goes first; the rest suffices for its response. */
        private const val STARVATION_FRACTION = 0.5
        private const val LATE_STARVATION_FRACTION = 0.75

        /** A report of another gateway is replaced or has lapsed after a few heartbeats. */
        private val MAX_HOLD = 100.milliseconds
    }
}
