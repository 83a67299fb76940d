package org.chestnutloom.edge.budget

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.plus
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.UnconfinedTestDispatcher
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.edge.store.InMemoryRowStore
import org.chestnutloom.id.CallId
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.Incarnation
import org.chestnutloom.id.ProgramId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Gateways that serve turns of one program, with what callers have got.
 *
 * It counts what the rules on budgets and on lost programs count: turns that were answered whole with the tokens that they
 * used, all others that have reached a target at their most, and those that have not as nothing.
 */
@OptIn(ExperimentalCoroutinesApi::class)
internal class BudgetModel(
    gatewayCount: Int,
    private val budgetTokens: Long,
) {
    private val test = TestScope(UnconfinedTestDispatcher())
    private val store = ModelStore(InMemoryRowStore())
    private val storedTurns = HashMap<CallId, Long>()
    private val gateways = MutableList(gatewayCount) { ModelGateway(it, incarnation = 1) }
    private val killedAtMs = HashMap<BudgetHolder, Long>()
    private var turnCount = 0
    private var exhaustedCount = 0

    /** Tokens that callers have got in turns that ended. */
    private var handedTokens = 0L

    /** What turns that ended count when it is asked whether the program has room. */
    private var countedTokens = 0L

    /** What turns could have used that were claimed and not sent when their gateway was killed. */
    private var neverSentTokens = 0L

    /** Whether a gateway was killed or taken for gone with a turn whose end is not known to the others. */
    private var hasLostTurns = false

    /** What was seen that breaks a rule, or null. */
    var violation: String? = null
        private set

    private val runningTokens: Long
        get() = gateways.sumOf { it.running.size + it.claimed.size } * MAX_TOKENS

    /** Callers may get tokens of one turn beyond the budget, which is used for turns that were lost with a gateway. */
    private val limitTokens: Long
        get() = if (hasLostTurns) budgetTokens + MAX_TOKENS else budgetTokens

    /** What the program may use; of turns that were lost before they were sent, gateways can account for one only. */
    private val roomTokens: Long
        get() = budgetTokens - countedTokens - runningTokens - (neverSentTokens - MAX_TOKENS).coerceAtLeast(0)

    suspend fun apply(event: BudgetEvent) {
        when (event) {
            is BudgetEvent.Begin -> gateways[event.gateway].ifActive { begin(event.isRetained) }
            is BudgetEvent.Claim -> gateways[event.gateway].ifActive { claim() }
            is BudgetEvent.Send -> gateways[event.gateway].ifActive { send() }
            is BudgetEvent.End -> gateways[event.gateway].ifActive { end() }
            is BudgetEvent.Break -> gateways[event.gateway].ifActive { breakOff() }
            is BudgetEvent.Leave -> gateways[event.gateway].ifActive { waiting.removeLastOrNull()?.cancel() }
            is BudgetEvent.Kill -> kill(event.gateway)
            is BudgetEvent.Pause -> gateways[event.gateway].pause(event.isUnregistered)
            is BudgetEvent.Evict -> gateways[event.gateway].ifActive { evict() }
            is BudgetEvent.Store -> store.mode = event.mode
            is BudgetEvent.ApplyHeld -> store.applyHeld()
        }
        test.testScheduler.advanceTimeBy(STEP_MS)
        test.testScheduler.runCurrent()
        if (handedTokens + runningTokens > limitTokens) {
            report("$handedTokens tokens handed out and $runningTokens in progress, of a budget of $budgetTokens")
        }
    }

    /**
     * Checks that a program with room left is served within the tries of one turn once everything works again, and that one
     * without room gets a final answer.
     */
    suspend fun checkServed() {
        store.mode = StoreMode.SOUND
        gateways.filter { it.isPaused }.forEach { it.pause(isUnregistered = false) }
        apply(BudgetEvent.ApplyHeld)
        test.testScheduler.advanceTimeBy(CONTACT_MS)
        val hasRoom = roomTokens >= MAX_TOKENS
        val runningBefore = runningTokens
        exhaustedCount = 0
        repeat(TRIES) { apply(BudgetEvent.Begin(it % gateways.size, isRetained = true)) }
        if (runningTokens > runningBefore) return
        if (hasRoom) report("refused with $countedTokens tokens counted, of $budgetTokens")
        if (exhaustedCount == 0) report("refused without a final answer, with $countedTokens tokens counted")
    }

    private fun kill(index: Int) {
        val killed = gateways[index]
        killed.scope.cancel()
        if (killed.running.size + killed.claimed.size > 0) hasLostTurns = true
        killedAtMs[killed.holder] = test.testScheduler.currentTime
        neverSentTokens += killed.claimed.size * MAX_TOKENS
        handedTokens += killed.running.size * MAX_TOKENS
        countedTokens += killed.running.size * MAX_TOKENS
        gateways[index] = ModelGateway(index, killed.incarnation + 1)
    }

    private fun report(what: String) {
        violation = violation ?: what
    }

    private class RunningTurn(
        val reservation: Reservation,
        val id: CallId,
        val isRetained: Boolean,
    )

    private inner class ModelGateway(
        index: Int,
        val incarnation: Int,
    ) {
        val scope: CoroutineScope = test.backgroundScope + Job()
        val running = ArrayDeque<RunningTurn>()
        val claimed = ArrayDeque<RunningTurn>()
        val waiting = ArrayDeque<Job>()
        var isPaused = false
        var unregisteredAtMs: Long? = null
        val holder = BudgetHolder(GatewayId("g$index"), Incarnation("$incarnation"))
        val allocator =
            BudgetAllocator(
                BudgetRows(store),
                ModelPeers(this),
                { turn, _ -> storedTurns[turn] },
                holder,
                scope,
                maxPrograms = 1,
            )

        fun pause(isUnregistered: Boolean) {
            isPaused = !isPaused
            unregisteredAtMs = if (isPaused && isUnregistered) test.testScheduler.currentTime else null
            if (unregisteredAtMs != null && running.size + claimed.size > 0) hasLostTurns = true
        }

        suspend fun ifActive(action: suspend ModelGateway.() -> Unit) {
            if (!isPaused) action()
        }

        fun begin(isRetained: Boolean) = reserve(isRetained) { running += it }

        fun claim() = reserve(isRetained = true) { claimed += it }

        fun send() {
            claimed.removeFirstOrNull()?.let { running += it }
        }

        private fun reserve(
            isRetained: Boolean,
            onReserved: (RunningTurn) -> Unit,
        ) {
            val id = CallId("t${++turnCount}")
            val caller =
                scope.launch {
                    val result = allocator.reserve(TurnTokens(PROGRAM, id, budgetTokens, MAX_TOKENS, isRetained))
                    result.onRight { onReserved(RunningTurn(it, id, isRetained)) }
                    if (result.leftOrNull()?.code == RefusalCode.BUDGET_EXHAUSTED) checkExhausted()
                }
            if (caller.isActive) waiting += caller
        }

        private fun checkExhausted() {
            exhaustedCount++
            if (roomTokens >= MAX_TOKENS) report("exhausted with $countedTokens tokens counted")
        }

        fun end() {
            val turn = running.removeFirstOrNull() ?: return
            // Differs from turn to turn, so that an exchange of two turns is seen.
            val usedTokens = MAX_TOKENS / 2 + turnCount % 7
            handedTokens += usedTokens
            countedTokens += usedTokens
            if (turn.isRetained) storedTurns[turn.id] = usedTokens
            turn.reservation.complete(usedTokens, isWhole = true)
        }

        fun breakOff() {
            val turn = running.removeFirstOrNull() ?: return
            handedTokens += MAX_TOKENS / 2
            countedTokens += MAX_TOKENS
            turn.reservation.complete(MAX_TOKENS / 2)
        }

        suspend fun evict() {
            val turn =
                TurnTokens(BudgetKey(ProgramId("other"), null), CallId("o"), budgetTokens, MAX_TOKENS, isStored = true)
            scope.launch { allocator.reserve(turn) }.cancel()
        }
    }

    private inner class ModelPeers(
        private val own: ModelGateway,
    ) : BudgetPeers {
        override suspend fun settle(
            key: BudgetKey,
            claims: List<BudgetClaim>,
        ): Boolean {
            val holders = claims.mapNotNull(::holderOf).filter { it.unregisteredAtMs == null }
            val settled = holders.filterNot { it.isPaused }.map { it.allocator.settle(key) }
            return settled.size == holders.size && settled.all { it }
        }

        override fun goneFor(claim: BudgetClaim): Duration? {
            val holder = holderOf(claim)
            if (holder != null && holder.unregisteredAtMs == null) return null
            val goneAt = holder?.unregisteredAtMs ?: killedAtMs[claim.holder] ?: return Duration.ZERO
            return (test.testScheduler.currentTime - goneAt).milliseconds
        }

        private fun holderOf(claim: BudgetClaim): ModelGateway? =
            gateways.firstOrNull {
                it !== own && it.holder == claim.holder
            }
    }

    companion object {
        const val MAX_TOKENS = 100L
        private val PROGRAM = BudgetKey(ProgramId("p1"), null)
        private const val STEP_MS = 60L
        private const val TRIES = 6

        /** The time after a failure in which a program need not be served. */
        private const val CONTACT_MS = 3_000L
    }
}
