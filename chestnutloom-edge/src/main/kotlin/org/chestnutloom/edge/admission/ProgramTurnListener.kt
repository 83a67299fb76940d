package org.chestnutloom.edge.admission

import org.chestnutloom.edge.call.AttemptListener
import org.chestnutloom.edge.call.AttemptResult
import org.chestnutloom.edge.call.RoutedCall
import org.chestnutloom.edge.call.requirementsOf
import org.chestnutloom.edge.config.RouteKind
import org.chestnutloom.edge.target.RequestCosts
import org.chestnutloom.edge.target.Target

/** Reports the attempts of calls to the [ProgramTracker] and to [AccountWork]. */
internal class ProgramTurnListener(
    private val tracker: ProgramTracker,
    private val accounts: AccountWork,
    private val memory: EngineMemory,
    private val costs: RequestCosts,
) : AttemptListener {
    /** The work that was added for each running call, as its estimate may change meanwhile. */
    private val runningMs = HashMap<RoutedCall, Double>()

    override fun started(
        call: RoutedCall,
        target: Target,
    ) {
        val required = requirementsOf(call)
        val serviceMs = costs.serviceTimeMs(required)
        runningMs[call] = serviceMs
        accounts.add(required.account, serviceMs)
        if (call.route.kind != RouteKind.STREAMING) return
        memory.record(required, target.cache.capacityTokens)
        call.head.program?.let {
            tracker.turnStarted(
                it,
                call.route.name,
                call.request.receivedAt,
                required.programDeadline,
            )
        }
    }

    override fun ended(
        call: RoutedCall,
        target: Target,
        result: AttemptResult?,
    ) {
        runningMs.remove(call)?.let { accounts.remove(call.account?.id, it) }
        if (call.route.kind != RouteKind.STREAMING) return
        val program = call.head.program ?: return
        tracker.turnEnded(program, call.request.receivedAt, (result as? AttemptResult.Responded)?.isComplete == true)
    }
}
