package org.chestnutloom.integration.proof

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.chestnutloom.integration.caller.CallerResponse
import org.chestnutloom.integration.fleet.AccountOptions
import org.chestnutloom.integration.fleet.Fleet
import org.chestnutloom.integration.fleet.FleetOptions
import org.chestnutloom.integration.program.complete
import org.chestnutloom.integration.program.completionBody
import org.chestnutloom.mechanism.Mechanism
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.random.Random

/**
 * Sends several times one client account's rate through all gateways while one is paused and another is killed.
 *
 * Guards against gateways that together admit more than the rate and burst of the account.
 */
class RateProof : Proof {
    override val name = "rate"
    override val mechanisms = setOf(Mechanism.RATE_ESCROW)
    override val options =
        FleetOptions(
            gateways = 3,
            engines = 2,
            toolServices = 1,
            accounts =
                listOf(
                    AccountOptions("hospital", ratePerSecond = RATE_PER_SECOND, burst = BURST_REQUESTS),
                    AccountOptions("care-home"),
                ),
        )

    override suspend fun violations(
        fleet: Fleet,
        random: Random,
    ): List<Violation> {
        val key = fleet.createKey("hospital").bearer
        val requests = ConcurrentLinkedQueue<TimedRequest>()
        coroutineScope {
            launch { injectFaults(fleet) }
            repeat(DURATION_SECONDS * REQUESTS_PER_SECOND) { number ->
                launch { requests += send(fleet, key, number) }
                delay(MS_PER_SECOND / REQUESTS_PER_SECOND)
            }
        }
        return excessViolations(requests.filter { it.isAdmitted })
    }

    private suspend fun injectFaults(fleet: Fleet) {
        delay(FIRST_FAULT_DELAY_MS)
        fleet.gateways[0].process.stop()
        delay(fleet.options.leaseMs)
        fleet.gateways[0].process.cont()
        fleet.gateways[1].process.kill9()
        fleet.startGateway(1)
    }

    private suspend fun send(
        fleet: Fleet,
        key: String,
        number: Int,
    ): TimedRequest {
        val urls = fleet.gatewayUrls
        val body = completionBody("rate $number", maxTokens = 1, stream = false)
        val sentAtNanos = System.nanoTime()
        val response = fleet.caller.complete(urls[number % urls.size], key, body)
        return TimedRequest(sentAtNanos, System.nanoTime(), (response as? CallerResponse.Complete)?.status == STATUS_OK)
    }

    /** Compares the requests that were certainly admitted within each time window with the limit for that window. */
    private fun excessViolations(admitted: List<TimedRequest>): List<Violation> {
        val starts = admitted.map { it.sentAtNanos }.sorted()
        val ends = admitted.map { it.respondedAtNanos }.sorted()
        println("rate admitted=${admitted.size}")
        val worstWindow =
            starts
                .flatMap { start ->
                    ends.map { end -> Window(start, end) }
                }.maxByOrNull { it.excess(admitted) }
        val worstExcess = worstWindow?.excess(admitted) ?: 0.0
        println("rate worst excess=$worstExcess")
        if (worstExcess <= 0.0) return emptyList()
        return listOf(
            Violation("no client account gets more than its rate and burst", "$worstExcess too many in $worstWindow"),
        )
    }

    private data class TimedRequest(
        val sentAtNanos: Long,
        val respondedAtNanos: Long,
        val isAdmitted: Boolean,
    )

    private data class Window(
        val fromNanos: Long,
        val untilNanos: Long,
    ) {
        fun excess(admitted: List<TimedRequest>): Double {
            if (untilNanos <= fromNanos) return 0.0
            val admittedInside = admitted.count { it.sentAtNanos >= fromNanos && it.respondedAtNanos <= untilNanos }
            return admittedInside - (BURST_REQUESTS + RATE_PER_SECOND * (untilNanos - fromNanos) / NANOS_PER_SECOND)
        }
    }

    private companion object {
        const val RATE_PER_SECOND = 10.0
        const val BURST_REQUESTS = 10
        const val DURATION_SECONDS = 10
        const val REQUESTS_PER_SECOND = 50
        const val MS_PER_SECOND = 1_000L
        const val FIRST_FAULT_DELAY_MS = 2_000L
        const val STATUS_OK = 200
        const val NANOS_PER_SECOND = 1e9
    }
}
