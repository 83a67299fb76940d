package org.chestnutloom.edge.turn

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.chestnutloom.edge.VirtualClock
import org.chestnutloom.edge.store.InMemoryRowStore
import org.chestnutloom.id.CallId
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.GatewayRun
import org.chestnutloom.id.Incarnation
import org.chestnutloom.id.TargetId
import org.chestnutloom.wire.message.CopyTurn
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val NETWORK_DELAY = 1.milliseconds

/** A fleet of gateways in virtual time, whose messages to each other take [NETWORK_DELAY]. */
private class TurnFleet(
    private val test: TestScope,
    size: Int,
) {
    val store = InMemoryRowStore()
    private val gateways = LinkedHashMap<GatewayRun, Gateway>()
    private var heartbeats = 0L

    init {
        repeat(size) { start("g$it") }
    }

    fun start(
        name: String,
        incarnation: String = "1",
    ): TurnStore {
        val run = GatewayRun(GatewayId(name), Incarnation(incarnation))
        val gateway = Gateway(run)
        gateways[run] = gateway
        return gateway.turns
    }

    /** Stops the gateway called [name] without a shutdown. */
    fun kill(name: String) {
        gateways.remove(runOf(name))?.job?.cancel()
    }

    private fun runOf(name: String): GatewayRun = gateways.keys.first { it.gateway.value == name }

    fun turnsOf(name: String): TurnStore = gateways.getValue(runOf(name)).turns

    val unsavedCounts: List<Int>
        get() = gateways.values.map { it.turns.unsavedCount }

    /** Returns whether a new gateway of the fleet can continue [turn]. */
    suspend fun isContinuable(turn: String): Boolean = start("new").chain(CallId(turn), account = null).isRight()

    private inner class Gateway(
        private val run: GatewayRun,
    ) {
        val job = Job(test.backgroundScope.coroutineContext[Job])
        private val scope = CoroutineScope(test.backgroundScope.coroutineContext + job)
        val turns: TurnStore = TurnStore(run, TurnRows(store, 65_536), peersOf(run), VirtualClock(test), scope)

        init {
            scope.launch { turns.run() }
        }
    }

    private fun peersOf(self: GatewayRun) =
        object : TurnPeers {
            override val ownHeartbeatSequence: Long
                get() = ++heartbeats

            override fun reachablePeers(): List<GatewayRun> = (gateways.keys - self).toList()

            override fun writerProgress(run: GatewayRun): WriterProgress? =
                gateways[run]?.let { WriterProgress(++heartbeats, it.turns.pendingWriteCount) }

            override suspend fun replicate(
                peer: GatewayRun,
                turn: CopyTurn,
            ): Boolean {
                delay(NETWORK_DELAY)
                return gateways[peer]?.turns?.acceptReplica(turn)?.getOrNull() == true
            }

            override suspend fun find(turn: CallId): TurnSearch {
                delay(NETWORK_DELAY)
                val found = (gateways - self).values.firstNotNullOfOrNull { it.turns.find(turn) }
                return found?.let { TurnSearch.Found(it) } ?: TurnSearch.NotFound
            }
        }
}

private fun turn(id: String): TurnRecord =
    TurnRecord(CallId(id), null, emptyList(), "in".encodeToByteArray(), "out".encodeToByteArray(), TargetId("e"))

class TurnReplicaLossDuringOutageSpec :
    DescribeSpec({
        describe("the loss of one gateway after another while the store is unavailable") {
            it("keeps a turn that the first lost gateway had served") {
                runTest {
                    val fleet = TurnFleet(this, size = 7)
                    fleet.store.isUnavailable = true
                    fleet.turnsOf("g0").save(turn("t")) shouldBe true
                    for (lost in 0..4) {
                        fleet.kill("g$lost")
                        delay(1_900.milliseconds)
                    }
                    fleet.store.isUnavailable = false
                    delay(2.seconds)
                    listOf("g5", "g6").forEach(fleet::kill)
                    fleet.isContinuable("t") shouldBe true
                }
            }

            it("keeps a turn after all of its first replicas are lost") {
                runTest {
                    val fleet = TurnFleet(this, size = 3)
                    fleet.store.isUnavailable = true
                    fleet.turnsOf("g0").save(turn("t")) shouldBe true
                    for (lost in 0..2) {
                        fleet.start("late$lost")
                        delay(1_900.milliseconds)
                        fleet.kill("g$lost")
                        delay(1_900.milliseconds)
                    }
                    fleet.store.isUnavailable = false
                    delay(2.seconds)
                    (0..2).forEach { fleet.kill("late$it") }
                    fleet.isContinuable("t") shouldBe true
                }
            }

            it("keeps a turn when its gateway and one replica are lost right after the response completed") {
                runTest {
                    val fleet = TurnFleet(this, size = 6)
                    fleet.store.isUnavailable = true
                    fleet.turnsOf("g0").save(turn("t")) shouldBe true
                    listOf("g0", "g1").forEach(fleet::kill)
                    fleet.isContinuable("t") shouldBe true
                }
            }
        }

        describe("the recovery of the store with many unsaved turns") {
            it("writes each turn from one gateway only") {
                runTest {
                    val fleet = TurnFleet(this, size = 6)
                    fleet.store.isUnavailable = true
                    repeat(40) { fleet.turnsOf("g${it % 6}").save(turn("t$it")) shouldBe true }
                    fleet.store.isUnavailable = false
                    val callsBefore = fleet.store.calls
                    delay(5.seconds)
                    fleet.store.calls - callsBefore shouldBeLessThanOrEqual 40
                    fleet.unsavedCounts.toSet() shouldBe setOf(0)
                }
            }
        }

        describe("a single gateway while the store is unavailable") {
            it("does not report a turn as durable") {
                runTest {
                    val fleet = TurnFleet(this, size = 1)
                    fleet.store.isUnavailable = true
                    fleet.turnsOf("g0").save(turn("t")) shouldBe false
                }
            }
        }

        describe("a turn that neither the store nor a gateway holds") {
            it("is reported as not found") {
                runTest {
                    val fleet = TurnFleet(this, size = 3)
                    val failure = fleet.turnsOf("g0").chain(CallId("t"), account = null).leftOrNull()
                    failure.shouldBeInstanceOf<TurnFailure.NotFound>()
                }
            }
        }
    })
