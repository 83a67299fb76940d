package org.chestnutloom.integration.proof

import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.chestnutloom.integration.fleet.Fleet
import org.chestnutloom.integration.fleet.FleetOptions
import org.chestnutloom.integration.program.complete
import org.chestnutloom.integration.program.completionBody
import org.chestnutloom.mechanism.Mechanism
import kotlin.random.Random

/**
 * Withdraws a key while its calls run, wait and arrive; one gateway has lost the table service, another is paused.
 *
 * Guards against gateways that keep accepting a withdrawn key because they work with outdated data.
 */
class WithdrawnKeyProof : Proof {
    override val name = "withdrawn-key"
    override val mechanisms = setOf(Mechanism.FRESHNESS, Mechanism.WITHDRAWAL_CANCEL)
    override val options =
        FleetOptions(
            gateways = 3,
            engines = 1,
            toolServices = 1,
            maxRunning = 2,
            proxied = true,
            decodeMsPerStep = 20.0,
        )

    override suspend fun violations(
        fleet: Fleet,
        random: Random,
    ): List<Violation> {
        val key = fleet.createKey("hospital")
        val withdrawnAtMs =
            coroutineScope {
                val senders = fleet.gateways.indices.map { launch { sendContinuously(fleet, key.bearer, it) } }
                delay(WARM_UP_MS)
                fleet.proxy?.setFault("gateway-1-table", "cut")
                fleet.gateways[1].process.stop()
                fleet.cli.run(
                    "key",
                    "withdraw",
                    key.id,
                    "--environment",
                    Fleet.ENVIRONMENT,
                    "--wait-seconds",
                    "0",
                )
                val withdrawnAtMs = System.currentTimeMillis()
                delay(WITHDRAWAL_BOUND_MS)
                fleet.gateways[1].process.cont()
                delay(OBSERVATION_MS)
                senders.forEach { it.stop() }
                withdrawnAtMs
            }
        val late =
            fleet.requestsOf(fleet.engines).filter {
                it.receivedAtMs > withdrawnAtMs + WITHDRAWAL_BOUND_MS &&
                    MARKER in it.body
            }
        val unfinished = fleet.requestsOf(fleet.engines).count { MARKER in it.body && !it.finished && !it.cancelled }
        println("withdrawn-key late=${late.size} unfinished=$unfinished")
        return listOfNotNull(
            Violation(
                "a withdrawn key stops working within seconds",
                "${late.size} calls",
            ).takeIf { late.isNotEmpty() },
        )
    }

    private suspend fun sendContinuously(
        fleet: Fleet,
        key: String,
        gateway: Int,
    ) = coroutineScope {
        while (isActive) {
            launch {
                fleet.caller.complete(fleet.gatewayUrls[gateway], key, completionBody(MARKER, TOKENS, stream = true))
            }
            delay(SEND_INTERVAL_MS)
        }
    }

    private suspend fun Job.stop() = cancelAndJoin()

    private companion object {
        const val MARKER = "calls of the key to withdraw"
        const val WARM_UP_MS = 1_500L
        const val WITHDRAWAL_BOUND_MS = 9_000L
        const val OBSERVATION_MS = 3_000L
        const val SEND_INTERVAL_MS = 150L
        const val TOKENS = 20
    }
}
