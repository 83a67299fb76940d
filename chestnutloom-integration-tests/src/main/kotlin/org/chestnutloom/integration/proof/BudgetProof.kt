package org.chestnutloom.integration.proof

import io.ktor.http.HttpMethod
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.chestnutloom.integration.caller.CallerResponse
import org.chestnutloom.integration.fleet.Fleet
import org.chestnutloom.integration.fleet.FleetOptions
import org.chestnutloom.integration.program.ProgramDriver
import org.chestnutloom.mechanism.Mechanism
import kotlin.random.Random

/**
 * Runs sub-agents concurrently on one parent's budget through two gateways until they are refused.
 *
 * Guards against concurrent calls that each pass the budget check and together exceed the budget.
 */
class BudgetProof : Proof {
    override val name = "budget"
    override val mechanisms = setOf(Mechanism.BUDGET_RESERVATION)
    override val options = FleetOptions(gateways = 2, engines = 1, toolServices = 1)

    override suspend fun violations(
        fleet: Fleet,
        random: Random,
    ): List<Violation> {
        val key = fleet.createKey("hospital").bearer
        val parent = ProgramDriver(fleet.caller, { fleet.gatewayUrls }, key)
        parent.open("budget", tokens = TOKEN_BUDGET, calls = CALL_BUDGET)
        val childErrors =
            coroutineScope {
                List(CHILDREN) { index -> async { runChild(fleet, key, parent, index) } }.awaitAll()
            }
        val records = fleet.requestsOf(fleet.engines).filter { it.programId.orEmpty().startsWith(parent.id) }
        val calls = records.size
        val tokens = records.sumOf { (it.promptTokens ?: 0) + (it.completionTokens ?: 0) }
        println("budget calls=$calls tokens=$tokens ends=$childErrors")
        return listOfNotNull(
            Violation("calls stay within the budget", "$calls calls of $CALL_BUDGET").takeIf { calls > CALL_BUDGET },
            Violation("tokens stay within the budget", "$tokens of $TOKEN_BUDGET").takeIf { tokens > TOKEN_BUDGET },
            Violation("a program over budget gets a typed error", "$childErrors").takeIf {
                childErrors.any {
                    it !=
                        "budget_exhausted"
                }
            },
        )
    }

    private suspend fun runChild(
        fleet: Fleet,
        key: String,
        parent: ProgramDriver,
        index: Int,
    ): String? {
        val child = ProgramDriver(fleet.caller, { fleet.gatewayUrls }, key, index)
        val opened = child.open("c$index", tokens = CHILD_TOKENS, calls = CHILD_CALLS, parent = parent.id)
        opened.error?.let { return it.code }
        var lastErrorCode: String? = null
        for (number in 1..MAX_TURNS) {
            lastErrorCode = runTurn(child, number, index) ?: continue
            break
        }
        return lastErrorCode
    }

    private suspend fun runTurn(
        child: ProgramDriver,
        number: Int,
        gateway: Int,
    ): String? {
        val body = ProgramDriver.modelBody("again and again", TOKENS_PER_CALL, stream = false)
        val response = child.sendOnce(gateway, HttpMethod.Post, "/v1/programs/${child.id}/turns/$number", body)
        return (response as? CallerResponse.Complete)?.error?.code
    }

    private companion object {
        const val TOKEN_BUDGET = 60L
        const val CALL_BUDGET = 12L
        const val CHILDREN = 5
        const val CHILD_TOKENS = 30L
        const val CHILD_CALLS = 5L
        const val TOKENS_PER_CALL = 10
        const val MAX_TURNS = 30
    }
}
