package org.chestnutloom.edge.quota

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.edge.config.AccountSettings
import org.chestnutloom.edge.config.EdgeConfiguration
import org.chestnutloom.edge.config.RequestLimits
import org.chestnutloom.edge.fleet.SimulatedFleet
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.GatewayId
import org.chestnutloom.rate.RateLimit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val SIZE = 30
private val LIMIT = RateLimit(ratePerSecond = 100.0, burst = 50)
private val ACCOUNT = AccountSettings(ClientAccountId("busy"), persistentSetOf("key"), priority = 0, LIMIT)
private val WINDOW = 5.seconds

/** The requests that the pages allow in a window, with a tolerance of 10% and 20 requests. */
private const val MAX_IN_WINDOW = ((5 * 100 + 50) * 1.1 + 20).toInt()

private fun configurationOf(account: AccountSettings) =
    EdgeConfiguration(
        version = 1,
        routes = persistentListOf(),
        services = persistentMapOf(),
        limits =
            RequestLimits(
                maxHeaderBytes = 1,
                maxBodyBytes = 1,
                headerTimeout = 1.seconds,
                idleTimeout = 1.seconds,
            ),
        accounts = persistentListOf(account),
    )

/** Requests of one account at the gateways of a fleet. */
private class AccountLoad(
    private val test: TestScope,
    val fleet: SimulatedFleet,
) {
    val admittedAtMs = ArrayList<Long>()
    var refused = 0
        private set

    /** Sends [perSecond] requests to each of [gateways] for [duration] and returns when the last one was sent. */
    suspend fun send(
        gateways: List<SimulatedFleet.Gateway>,
        perSecond: Int,
        duration: Duration,
    ) {
        val interval = 1.seconds / perSecond
        repeat((duration / interval).toInt()) {
            gateways.forEach { gateway -> test.backgroundScope.launch { admit(gateway) } }
            delay(interval)
        }
    }

    private suspend fun admit(gateway: SimulatedFleet.Gateway) {
        val result = gateway.admission.admit(ACCOUNT, startsProgram = false, maxWait = 100.milliseconds)
        if (result.isRight()) admittedAtMs += test.currentTime else refused++
    }

    suspend fun elapsedIn(action: suspend () -> Unit): Duration {
        val start = test.currentTime
        action()
        return (test.currentTime - start).milliseconds
    }

    /** The largest number of requests admitted in any [WINDOW]. */
    fun maxInWindow(): Int =
        admittedAtMs.maxOfOrNull { start -> admittedAtMs.count { it in start..<start + WINDOW.inWholeMilliseconds } }
            ?: 0

    /** The gateways that enforce the account's limit, the preferred one first. */
    val replicas: List<SimulatedFleet.Gateway>
        get() = replicaIds.map { id -> fleet.gateways.first { it.id == id } }

    val replicaIds: List<GatewayId>
        get() =
            fleet.gateways
                .first()
                .fleet
                .replicasOf(ACCOUNT.id)
}

class LargeFleetQuotaSpec :
    DescribeSpec({
        fun withLoad(check: suspend (AccountLoad) -> Unit) =
            runTest {
                val fleet = SimulatedFleet(this, SIZE)
                fleet.start()
                fleet.gateways.forEach { it.configure(configurationOf(ACCOUNT)) }
                delay(3.seconds)
                check(AccountLoad(this, fleet))
            }

        describe("an account in a fleet of $SIZE gateways") {
            // Guards against refusals inside the rate when heartbeats no longer go to all gateways.
            it("gets its whole rate through a single gateway") {
                withLoad { load ->
                    val gateway = load.fleet.gateways.first { it.id !in load.replicaIds }
                    load.send(listOf(gateway), perSecond = 95, duration = 10.seconds)
                    delay(1.seconds)
                    load.refused shouldBe 0
                    load.admittedAtMs.size shouldBe 950
                }
            }

            // Guards against gateways that admit the same part of a rate because they learn of each other's usage late.
            it("stays within rate and burst when it sends many times its rate through all gateways") {
                withLoad { load ->
                    load.send(load.fleet.gateways, perSecond = 40, duration = 12.seconds)
                    load.maxInWindow() shouldBeLessThanOrEqual MAX_IN_WINDOW
                    load.admittedAtMs.size shouldBeGreaterThan 1_150
                }
            }

            it("continues when the preferred replica fails, and stays within rate and burst") {
                withLoad { load ->
                    val others = load.fleet.gateways - load.replicas.first()
                    load.send(others, perSecond = 40, duration = 3.seconds)
                    load.replicas.first().kill()
                    val before = load.admittedAtMs.size
                    load.send(others, perSecond = 40, duration = 6.seconds)
                    load.maxInWindow() shouldBeLessThanOrEqual MAX_IN_WINDOW
                    load.admittedAtMs.size - before shouldBeGreaterThan 300
                }
            }

            it("stays within rate and burst while the replicas cannot reach each other") {
                withLoad { load ->
                    val ids = load.replicaIds
                    load.fleet.isCut = { from, to -> from in ids && to in ids }
                    load.send(load.fleet.gateways, perSecond = 40, duration = 12.seconds)
                    load.maxInWindow() shouldBeLessThanOrEqual MAX_IN_WINDOW
                }
            }

            it("stays within rate and burst while a part of the fleet is cut off") {
                withLoad { load ->
                    val part =
                        load.fleet.gateways
                            .filterIndexed { index, _ -> index % 2 == 0 }
                            .map { it.id }
                    load.fleet.isCut = { from, to -> (from in part) != (to in part) }
                    load.send(load.fleet.gateways, perSecond = 40, duration = 12.seconds)
                    load.fleet.isCut = { _, _ -> false }
                    load.send(load.fleet.gateways, perSecond = 40, duration = 6.seconds)
                    load.maxInWindow() shouldBeLessThanOrEqual MAX_IN_WINDOW
                }
            }

            it("is refused as not run, without a wait for its deadline, while no replica is reachable") {
                withLoad { load ->
                    val gateway = load.fleet.gateways.first { it.id !in load.replicaIds }
                    load.fleet.isCut = { from, to -> from == gateway.id || to == gateway.id }
                    val refusal = gateway.admission.admit(ACCOUNT, startsProgram = true, Duration.ZERO).leftOrNull()
                    refusal?.code shouldBe RefusalCode.GATEWAY_STALE
                }
            }

            it("is refused at once when it is known that no replica is reachable") {
                withLoad { load ->
                    val gateway = load.fleet.gateways.first { it.id !in load.replicaIds }
                    load.fleet.isCut = { from, to -> from == gateway.id || to == gateway.id }
                    delay(4.seconds)
                    load.elapsedIn { gateway.admission.admit(ACCOUNT, startsProgram = false, 1.seconds) } shouldBe
                        Duration.ZERO
                }
            }
        }
    })
