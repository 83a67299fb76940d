package org.chestnutloom.edge.budget

import io.github.oshai.kotlinlogging.KotlinLogging
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.common.log.event
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.edge.store.ChangeFailure
import org.chestnutloom.edge.store.storeUnavailable
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/** Decides how turns are refused whose tokens can't be reserved, and logs why. */
internal class BudgetRefusals(
    private val peers: BudgetPeers,
) {
    /** Refuses a turn for which the claims of gateways leave no room. */
    fun noneLeft(
        request: TurnTokens,
        budget: ProgramBudget,
    ): Refusal {
        val isExhausted = budget.isExhausted(request.budgetTokens, request.maxTokens, SETTLED_AFTER, peers::goneFor)
        logger.event(
            if (isExhausted) "budget_exhausted" else "budget_unsettled",
            "program" to request.key.program,
            "budget" to request.budgetTokens,
            "needed" to request.maxTokens,
            "claimed" to request.budgetTokens - budget.freeTokens(request.budgetTokens),
            "claimed_by_others" to budget.otherClaims.sumOf { it.tokens },
            "pending_at_others" to budget.otherClaims.flatMap { it.pending }.joinToString(" ") { it.turn.value },
            "others_gone_ms" to budget.otherClaims.joinToString(" ") { "${peers.goneFor(it)?.inWholeMilliseconds}" },
        )
        return if (isExhausted) exhausted() else unsettled()
    }

    /** Refuses a turn for which the claim could not be read or written. */
    fun claimFailed(
        key: BudgetKey,
        failure: ChangeFailure.Failed,
    ): Refusal {
        logger.warnEvent("budget_claim_failed", "program" to key.program, "cause" to failure.cause)
        return storeUnavailable("The budget cannot be reserved in the store.")
    }

    /** Refuses a turn while another gateway changes the claims. */
    fun contended(): Refusal =
        storeUnavailable("The budget is being reserved by another gateway.").copy(retryAfterMs = CONTENDED_RETRY_MS)

    private fun exhausted() =
        Refusal(RefusalCode.BUDGET_EXHAUSTED, Execution.NOT_RUN, "The program's token budget is exhausted.")

    /** Refuses a turn whose tokens may or may not have been spent by gateways that failed. */
    private fun unsettled() =
        Refusal(
            RefusalCode.BUDGET_UNSETTLED,
            Execution.NOT_RUN,
            "The rest of the program's token budget is claimed by gateways that have failed.",
            CONTENDED_RETRY_MS,
        )

    private companion object {
        /** Another gateway writes its claim within this time. */
        private const val CONTENDED_RETRY_MS = 500L

        /** A turn of a gateway that is not registered any more has been stored by then, or its caller has left. */
        private val SETTLED_AFTER = 2.seconds
    }
}
