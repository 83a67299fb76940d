package org.chestnutloom.integration.edge

import io.kotest.core.spec.IsolationMode
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.chestnutloom.fakes.edge.streamResponse
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

/** The slots of the target, and the request that may queue there. */
private const val PLACES = 5

class WaitingTurnSpec :
    DescribeSpec({
        isolationMode = IsolationMode.InstancePerLeaf
        val fleet = EdgeFleet()

        beforeEach { fleet.start() }
        afterEach { fleet.stop() }

        suspend fun RawCaller.turn(program: String): RawResponse =
            send(
                "POST",
                "/chat/1",
                "input",
                id = "t-$program",
                headers =
                    mapOf(
                        "Chestnutloom-Program-Id" to program,
                        "Chestnutloom-Token-Budget" to "1000",
                        "Chestnutloom-Token-Usage" to "10,100",
                        "Chestnutloom-Previous-Turn" to "t-first",
                    ),
            )

        describe("a turn that waits for a target") {
            // Guards against a budget that holds a turn for good which its gateway, killed meanwhile, never sent (review/14).
            it("has no claim on its program's budget before it gets one") {
                val released = CountDownLatch(1)
                val target =
                    fleet.target("e-1", EdgeFleet.LLM) { request ->
                        if (request.header("Chestnutloom-Attempt-Id") != "t-first") released.await(5, TimeUnit.SECONDS)
                        streamResponse(request, listOf("one"))
                    }
                val caller = fleet.caller()
                caller.send("POST", "/chat/1", "input", id = "t-first").hasLastChunk shouldBe true
                coroutineScope {
                    val running: List<Deferred<RawResponse>> = (1..PLACES).map { async { caller.turn("running-$it") } }
                    eventually { target.received.size == PLACES + 1 }
                    val waiting = async { caller.turn("waiting") }
                    delay(300.milliseconds)
                    (1..PLACES).forEach { fleet.store.keys("programs", "running-$it") shouldHaveSize 1 }
                    fleet.store.keys("programs", "waiting").shouldBeEmpty()
                    released.countDown()
                    waiting.await().hasLastChunk shouldBe true
                    running.awaitAll().all { it.hasLastChunk } shouldBe true
                    fleet.store.keys("programs", "waiting") shouldHaveSize 1
                }
            }
        }
    })
