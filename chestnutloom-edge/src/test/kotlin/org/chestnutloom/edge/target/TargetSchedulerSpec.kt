package org.chestnutloom.edge.target

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.edge.VirtualClock
import org.chestnutloom.edge.http.EdgeLoop
import org.chestnutloom.edge.http.HttpConnector
import org.chestnutloom.id.TargetId
import org.chestnutloom.route.RoutingPolicyKind
import org.chestnutloom.route.routingPolicy
import org.chestnutloom.wire.link.PeerAddress
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val SERVICE = "models"
private const val SLOTS = 4

/** A gateway's scheduler over targets that serve [SLOTS] requests each, in virtual time. */
@OptIn(ExperimentalCoroutinesApi::class)
private class ScheduledFleet(
    private val test: TestScope,
    loop: EdgeLoop,
) {
    private val clock = VirtualClock(test)
    private val connector = HttpConnector(loop, clock, connectTimeout = 1.seconds)
    val directory = TargetDirectory(TargetFactory(connector, clock, test)) { 100_000L }
    val scheduler = TargetScheduler(directory, routingPolicy(RoutingPolicyKind.COST, Random(7)), "siracusa", clock)

    fun list(
        id: String,
        stage: TargetStage = TargetStage.READY,
    ) {
        val address = PeerAddress("127.0.0.1", 9)
        directory.update(TargetEntry(TargetId(id), 1, SERVICE, address, "siracusa", SLOTS, stage))
    }

    fun CoroutineScope.ask(
        rank: Int = 0,
        startsProgram: Boolean = false,
        callerTimeout: Duration = 2.seconds,
    ): Deferred<String> {
        val needs =
            TargetRequirements(
                service = SERVICE,
                rank = rank,
                prompt = emptyList(),
                isModelCall = true,
                startsProgram = startsProgram,
                waitUntil = clock.elapsed() + callerTimeout,
                excluded = emptySet(),
            )
        val asked = async { scheduler.acquire(needs).fold({ it.code.name }, { it.entry.id.value }) }
        test.testScheduler.runCurrent()
        return asked
    }

    fun release(id: String) {
        scheduler.release(directory.all.first { it.entry.id.value == id })
        test.testScheduler.runCurrent()
    }
}

@OptIn(ExperimentalCoroutinesApi::class)
class TargetSchedulerSpec :
    DescribeSpec({
        val loop = EdgeLoop()

        afterSpec { loop.close() }

        fun scheduled(body: suspend ScheduledFleet.(TestScope) -> Unit) =
            runTest { ScheduledFleet(this, loop).body(this) }

        describe("the pattern of a burst of programs on few engines") {
            it("starts programs on half of the places only") {
                scheduled { test ->
                    list("i-1")
                    val starts = List(3) { test.ask(startsProgram = true) }
                    starts.map { it.isCompleted }.shouldContainExactly(true, true, false)
                    starts.last().await() shouldBe RefusalCode.OVERLOADED.name
                }
            }

            it("starts none where one engine is idle while the others are needed for more than their half") {
                scheduled { test ->
                    list("i-1")
                    repeat(SLOTS) { test.ask() }
                    list("i-2")
                    test.ask(startsProgram = true).isCompleted shouldBe false
                    test.ask().await() shouldBe "i-2"
                }
            }

            it("leaves the other places to the programs under way") {
                scheduled { test ->
                    list("i-1")
                    repeat(2) { test.ask(startsProgram = true) }
                    val start = test.ask(startsProgram = true)
                    val turn = test.ask(rank = 1)
                    turn.await() shouldBe "i-1"
                    start.isCompleted shouldBe false
                }
            }

            it("starts the most urgent program first when a place is free again") {
                scheduled { test ->
                    list("i-1")
                    repeat(2) { test.ask(startsProgram = true) }
                    val later = test.ask(rank = 1, startsProgram = true)
                    val urgent = test.ask(rank = 0, startsProgram = true)
                    release("i-1")
                    urgent.await() shouldBe "i-1"
                    later.isCompleted shouldBe false
                }
            }
        }

        describe("the pattern of engines that are lost") {
            it("gives what waits to a target that comes back") {
                scheduled { test ->
                    list("i-1")
                    repeat(SLOTS + 1) { test.ask() }
                    val waiting = test.ask()
                    waiting.isCompleted shouldBe false
                    list("i-2")
                    waiting.await() shouldBe "i-2"
                }
            }

            it("refuses at once when none is left") {
                scheduled { test ->
                    list("i-1", TargetStage.DRAINING)
                    test.ask().await() shouldBe RefusalCode.NO_TARGET.name
                    test.currentTime shouldBe 0
                }
            }
        }

        describe("the pattern of urgent requests among many others") {
            it("gives free places by rank and then by arrival") {
                scheduled { test ->
                    list("i-1")
                    repeat(SLOTS + 1) { test.ask() }
                    val waiting = listOf(test.ask(rank = 2), test.ask(rank = 1), test.ask(rank = 1), test.ask(rank = 0))
                    val order = ArrayList<Int>()
                    repeat(waiting.size) {
                        release("i-1")
                        order += waiting.indices.first { it !in order && waiting[it].isCompleted }
                    }
                    order.shouldContainExactly(3, 1, 2, 0)
                }
            }

            it("refuses a request that could not be served before its caller stops waiting") {
                scheduled { test ->
                    list("i-1")
                    repeat(SLOTS + 1) { test.ask() }
                    repeat(10) { test.ask() }
                    test.ask(callerTimeout = 100.milliseconds).await() shouldBe RefusalCode.OVERLOADED.name
                    test.currentTime shouldBe 0
                }
            }
        }
    })
