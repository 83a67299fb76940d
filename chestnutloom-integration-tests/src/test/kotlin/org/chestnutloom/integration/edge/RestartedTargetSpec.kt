package org.chestnutloom.integration.edge

import io.kotest.core.spec.IsolationMode
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.chestnutloom.fakes.edge.ConnectionAction
import org.chestnutloom.fakes.edge.ReceivedRequest
import org.chestnutloom.fakes.edge.ScriptedResponse
import org.chestnutloom.fakes.edge.ScriptedTarget
import org.chestnutloom.fakes.edge.responseHead
import org.chestnutloom.fakes.edge.signedResponse
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Longer than another process takes to listen at the address of one that has ended. */
private val RESTART_TIME = 2_000.milliseconds

private const val TIMEOUT_MS = 9_000

/** Responds to requests on the route with a body without a length that has a piece each [pause], and never ends. */
private fun endless(
    request: ReceivedRequest,
    pause: Duration,
): ScriptedResponse =
    if (request.target == "/health") {
        signedResponse(request, "")
    } else {
        ScriptedResponse(listOf(responseHead(request) + "\r\n", "piece"), pause = pause, isEndless = true)
    }

class RestartedTargetSpec :
    DescribeSpec({
        isolationMode = IsolationMode.InstancePerLeaf
        val fleet = EdgeFleet()

        beforeEach { fleet.start() }
        afterEach { fleet.stop() }

        suspend fun callerOf(targetPort: Int): RawCaller {
            fleet.putTarget("i-1", EdgeFleet.PLAIN, targetPort)
            val slow = fleet.route("slow", "non_idempotent", EdgeFleet.PLAIN, 1)
            fleet.configure(version = 1, extraRoutes = "," + slow.replace("\"timeoutMs\":2000", "\"timeoutMs\":9000"))
            return RawCaller(fleet.gateway("g1"))
        }

        /** Cuts the target off after [cutAfter], ends it behind the cut, and starts another process in its place. */
        suspend fun statusAfterRestart(
            pause: Duration,
            cutAfter: Duration,
            isBusy: Boolean = false,
        ): Int {
            val first =
                ScriptedTarget { request ->
                    if (isBusy && request.target == "/health") Thread.sleep(RESTART_TIME.inWholeMilliseconds * 4)
                    endless(request, pause)
                }
            val second = ScriptedTarget { signedResponse(it, "") }
            first.start()
            second.start()
            HeldLink(first.port).use { link ->
                val caller = callerOf(link.port)
                val status =
                    coroutineScope {
                        val response =
                            async { caller.send("POST", "/slow/1", callerTimeoutMs = TIMEOUT_MS).status }
                        eventually { first.received.any { it.target == "/slow/1" } }
                        delay(cutAfter)
                        link.hold()
                        delay(200.milliseconds)
                        first.stop()
                        delay(RESTART_TIME)
                        link.targetPort = second.port
                        link.release()
                        response.await()
                    }
                second.stop()
                return status
            }
        }

        describe("a response without a length whose target is killed behind a cut and replaced") {
            // Guards against the part before the kill, which arrives after the cut, as the whole response (review/6).
            it("is lost if nothing of it arrived before the cut") {
                statusAfterRestart(pause = 300.milliseconds, cutAfter = 100.milliseconds) shouldBe 502
            }

            it("is lost if its beginning arrived before the cut") {
                statusAfterRestart(pause = 50.milliseconds, cutAfter = 1_500.milliseconds) shouldBe 502
            }

            it("is lost if the target was too busy to say that it ran") {
                statusAfterRestart(50.milliseconds, cutAfter = 1_500.milliseconds, isBusy = true) shouldBe 502
            }
        }

        describe("a response without a length that takes longer than a restart") {
            /** Ends whole after 2.4 s, with [health] for requests of the gateway itself. */
            fun wholeAfterPauses(
                request: ReceivedRequest,
                health: (ReceivedRequest) -> ScriptedResponse,
            ): ScriptedResponse =
                if (request.target == "/health") {
                    health(request)
                } else {
                    ScriptedResponse(
                        listOf(responseHead(request) + "\r\n", "rat", "tan"),
                        ConnectionAction.CLOSE,
                        pause = 800.milliseconds,
                    )
                }

            // Guards against a whole response that is lost because it took long.
            listOf<Pair<String, (ReceivedRequest) -> ScriptedResponse>>(
                "answers requests for its health" to { request -> signedResponse(request, "") },
                "answers them and closes their connection" to { request ->
                    signedResponse(request, "", connectionAction = ConnectionAction.CLOSE)
                },
                "is too busy to answer them" to { request ->
                    ScriptedResponse(signedResponse(request, "").chunks, pause = 5.seconds)
                },
            ).forEach { (name, health) ->
                it("is whole if its target $name") {
                    val target = ScriptedTarget { wholeAfterPauses(it, health) }
                    target.start()
                    val response = callerOf(target.port).send("POST", "/slow/1", callerTimeoutMs = TIMEOUT_MS)
                    response.status shouldBe 200
                    response.body shouldBe "rattan"
                    target.received.map { it.target } shouldContain "/slow/1"
                    target.stop()
                }
            }
        }
    })
