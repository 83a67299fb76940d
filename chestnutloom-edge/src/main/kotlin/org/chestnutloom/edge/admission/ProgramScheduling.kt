package org.chestnutloom.edge.admission

import org.chestnutloom.edge.call.AttemptListener
import org.chestnutloom.edge.target.RequestCosts
import org.chestnutloom.edge.target.SchedulingPolicy
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.GatewayId
import org.chestnutloom.time.Clock
import kotlin.random.Random

/**
 * The queue order and program admission of a gateway that manages its load by committed work.
 *
 * @param ratePerSecondOf returns the rate of a client account, or null if it is not limited
 */
internal class ProgramScheduling(
    private val clock: Clock,
    random: Random,
    ratePerSecondOf: (ClientAccountId) -> Double?,
) {
    private val accounts = AccountWork(ratePerSecondOf)
    private val waiting = WaitingWork()
    private val peers = PeerWork()
    private val memory = EngineMemory()
    val tracker = ProgramTracker(clock)
    val admission = CommittedWorkAdmission(tracker, peers, waiting, memory, clock, random)

    /** Returns [policy] with this queue order and admission. */
    fun applyTo(policy: SchedulingPolicy): SchedulingPolicy =
        policy.copy(
            admission = admission,
            queueOrder = QueueRanking.ORDER,
            queueObserver = QueueRanking(accounts, waiting, peers, clock),
            isQueuedAtPlainTargets = false,
        )

    /** Returns the listener that learns from calls whose costs are estimated by [costs]. */
    fun listener(costs: RequestCosts): AttemptListener = ProgramTurnListener(tracker, accounts, memory, costs)

    /** Returns the work of this gateway for other gateways. */
    fun report(): WorkReport =
        WorkReport((tracker.expectedSlots() * MILLI).toInt(), waiting.modelMs, waiting.plainMs, admission.limitPercent)

    /** Replaces the work that [gateway] reported, or removes it if [report] is null. */
    fun updatePeer(
        gateway: GatewayId,
        report: WorkReport?,
    ) = peers.update(gateway, report)

    private companion object {
        private const val MILLI = 1_000.0
    }
}
