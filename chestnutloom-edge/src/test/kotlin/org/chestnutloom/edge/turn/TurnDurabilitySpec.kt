package org.chestnutloom.edge.turn

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.chestnutloom.edge.VirtualClock
import org.chestnutloom.edge.store.InMemoryRowStore
import org.chestnutloom.edge.store.RowChange
import org.chestnutloom.edge.store.RowKey
import org.chestnutloom.edge.store.RowPut
import org.chestnutloom.id.CallId
import org.chestnutloom.id.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val NETWORK_DELAY = 1.milliseconds

/** A fleet of gateways in virtual time, whose messages to each other take [NETWORK_DELAY]. */
private class TurnFleet(
    private val test: TestScope,
    size: Int,
) {
    val store = InMemoryRowStore()
    private val clock = VirtualClock(test)
    private val gateways = LinkedHashMap<String, Gateway>()

    init {
        repeat(size) { start("g$it") }
    }

    fun start(name: String): TurnStore {
        val gateway = Gateway(name)
        gateways[name] = gateway
        return gateway.turns
    }

    /** Stops all gateways at the same moment, without a shutdown. */
    fun killAll() {
        gateways.values.forEach { it.job.cancel() }
        gateways.clear()
    }

    fun turnsOf(name: String): TurnStore = gateways.getValue(name).turns

    /** Saves [turn] at gateway [name] while its caller waits for [patience]; the result is whether it is durable. */
    fun save(
        name: String,
        turn: TurnRecord,
        patience: Duration = 60.seconds,
    ): CompletableDeferred<Boolean> {
        val result = CompletableDeferred<Boolean>()
        val gateway = gateways.getValue(name)
        gateway.scope.launch { result.complete(gateway.turns.save(turn, clock.elapsed() + patience)) }
        return result
    }

    /** Returns whether a new gateway of the fleet can continue [turn]. */
    suspend fun isContinuable(turn: String): Boolean = start("new").chain(CallId(turn), account = null).isRight()

    private inner class Gateway(
        private val name: String,
    ) {
        val job = Job(test.backgroundScope.coroutineContext[Job])
        val scope = CoroutineScope(test.backgroundScope.coroutineContext + job)
        val turns =
            TurnStore(
                TurnRows(store, 65_536),
                TurnPeers { findAtOthers(name, it) },
                { true },
                clock,
                TurnMemory(1_000_000),
            )
    }

    private suspend fun findAtOthers(
        name: String,
        turn: CallId,
    ): ByteArray? {
        delay(NETWORK_DELAY)
        return (gateways - name).values.firstNotNullOfOrNull { it.turns.find(turn) }
    }
}

private fun turn(id: String): TurnRecord =
    TurnRecord(CallId(id), null, emptyList(), "in".encodeToByteArray(), "out".encodeToByteArray(), TargetId("e"))

class TurnDurabilitySpec :
    DescribeSpec({
        describe("a turn that ends while the store is unavailable") {
            // Guards against turns that were answered whole during an outage and unknown after all gateways were killed.
            it("is not reported as durable before the store has acknowledged it, however many gateways are reachable") {
                runTest {
                    val fleet = TurnFleet(this, size = 7)
                    fleet.store.isUnavailable = true
                    val saved = (0..6).map { fleet.save("g$it", turn("t$it")) }
                    delay(30.seconds)
                    fleet.killAll()
                    saved.filter { it.isCompleted } shouldBe emptyList()
                }
            }

            it("is durable once the store is back, and continuable after all gateways were killed") {
                runTest {
                    val fleet = TurnFleet(this, size = 3)
                    fleet.store.isUnavailable = true
                    val saved = fleet.save("g0", turn("t"))
                    delay(5.seconds)
                    fleet.store.isUnavailable = false
                    saved.await() shouldBe true
                    fleet.killAll()
                    fleet.isContinuable("t") shouldBe true
                }
            }

            it("is reported as not durable when its caller's deadline passes") {
                runTest {
                    val fleet = TurnFleet(this, size = 3)
                    fleet.store.isUnavailable = true
                    fleet.save("g0", turn("t"), patience = 2.seconds).await() shouldBe false
                    testScheduler.currentTime shouldBe 2_000
                    fleet.turnsOf("g0").unsavedCount shouldBe 0
                }
            }

            it("cannot be continued, not even at its own gateway") {
                runTest {
                    val fleet = TurnFleet(this, size = 2)
                    fleet.store.isUnavailable = true
                    fleet.save("g0", turn("t"))
                    delay(1.seconds)
                    fleet.turnsOf("g0").find(CallId("t")).shouldBeNull()
                }
            }
        }

        describe("a turn whose write was applied without a response") {
            it("is written again and durable") {
                runTest {
                    val fleet = TurnFleet(this, size = 1)
                    fleet.store.losesNextResponse = true
                    fleet.save("g0", turn("t")).await() shouldBe true
                    fleet.killAll()
                    fleet.isContinuable("t") shouldBe true
                }
            }
        }

        describe("the recovery of the store with many unsaved turns") {
            it("writes each turn once") {
                runTest {
                    val fleet = TurnFleet(this, size = 6)
                    fleet.store.isUnavailable = true
                    val saved = (0 until 40).map { fleet.save("g${it % 6}", turn("t$it")) }
                    delay(5.seconds)
                    fleet.store.isUnavailable = false
                    val callsBefore = fleet.store.calls
                    saved.map { async { it.await() } }.awaitAll().toSet() shouldBe setOf(true)
                    delay(5.seconds)
                    fleet.store.calls - callsBefore shouldBeLessThanOrEqual 40
                }
            }
        }

        describe("a turn that the store acknowledged") {
            it("is found at another gateway while the store is unavailable") {
                runTest {
                    val fleet = TurnFleet(this, size = 2)
                    fleet.save("g0", turn("t")).await() shouldBe true
                    fleet.store.isUnavailable = true
                    fleet.turnsOf("g1").chain(CallId("t"), account = null).isRight() shouldBe true
                }
            }

            it("is reported as unavailable, not as missing, when neither the store nor a gateway can provide it") {
                runTest {
                    val fleet = TurnFleet(this, size = 2)
                    fleet.save("g0", turn("t")).await() shouldBe true
                    fleet.killAll()
                    fleet.store.isUnavailable = true
                    val failure = fleet.start("new").chain(CallId("t"), account = null).leftOrNull()
                    failure.shouldBeInstanceOf<TurnFailure.StoreUnavailable>()
                }
            }
        }

        describe("a turn whose rows cannot be decoded") {
            // Guards against a turn that was answered whole and is refused with 404 since it cannot be read.
            it("is reported as unavailable, not as missing") {
                runTest {
                    val fleet = TurnFleet(this, size = 1)
                    val key = RowKey("turns", "t", "0000")
                    fleet.store.change(RowChange(puts = listOf(RowPut(key, "unreadable".encodeToByteArray()))))
                    val failure = fleet.turnsOf("g0").chain(CallId("t"), account = null).leftOrNull()
                    failure.shouldBeInstanceOf<TurnFailure.StoreUnavailable>()
                }
            }
        }

        describe("a turn that the store does not hold") {
            it("is reported as not found") {
                runTest {
                    val fleet = TurnFleet(this, size = 3)
                    val failure = fleet.turnsOf("g0").chain(CallId("t"), account = null).leftOrNull()
                    failure.shouldBeInstanceOf<TurnFailure.NotFound>()
                }
            }
        }
    })
