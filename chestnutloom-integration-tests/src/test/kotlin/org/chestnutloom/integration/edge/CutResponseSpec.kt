package org.chestnutloom.integration.edge

import io.kotest.core.spec.IsolationMode
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.chestnutloom.fakes.edge.ConnectionAction
import org.chestnutloom.fakes.edge.ReceivedRequest
import org.chestnutloom.fakes.edge.ScriptedResponse
import org.chestnutloom.fakes.edge.ScriptedTarget

private const val BAD_GATEWAY = 502

/** Requests at the same time, few enough that one target has slots for all. */
private const val LANES = 4

/** More than the three to which an idempotent request may be sent. */
private const val TARGETS = 6

private val PLAIN_PIECES = listOf("0123456789abcdefghij", "klmnopqrstuvwxyz.")
private val EVENTS = listOf("id: 1\ndata: first\n\n", "id: 2\ndata: second\n\n")

private val ROUTES =
    listOf(
        CutRoute("a request that is not idempotent", "POST", "pay", EdgeFleet.PLAIN, PLAIN_PIECES),
        CutRoute("an idempotent request", "GET", "plain", EdgeFleet.PLAIN, PLAIN_PIECES),
        CutRoute("a request for a stream", "POST", "stream", EdgeFleet.LLM, EVENTS),
        CutRoute("a turn", "POST", "chat", EdgeFleet.LLM, EVENTS),
    )

private val ENDINGS =
    mapOf(
        ConnectionAction.CLOSE to "a close",
        ConnectionAction.RESET to "a reset",
        ConnectionAction.CRASH to "the end of its target",
    )

/** Returns the request that a target receives for the response that is cut at byte [cut]. */
private fun requestAt(cut: Int) =
    ReceivedRequest("GET", "/$cut", mapOf("chestnutloom-attempt-id" to idAt(cut)), ByteArray(0))

private fun idAt(cut: Int) = "cut-%04d".format(cut)

private fun cutOf(request: ReceivedRequest) = request.target.substringAfterLast('/').toInt()

/** Returns what is wrong with [received] for a [response] that was cut, or null if nothing is. */
private fun faultOf(
    received: RawResponse,
    response: FramedResponse,
    cut: Int,
    ending: ConnectionAction,
): String? {
    val body = received.receivedBody()
    val complete = response.completeBody(cut, ending)
    val isRight =
        when {
            received.status == response.statusCode && body.isWhole -> body.content == complete
            response.mustBeComplete(cut, ending) -> false
            received.status == response.statusCode -> response.body.startsWith(body.content)
            else -> received.status in listOf(0, BAD_GATEWAY)
        }
    if (isRight) return null
    val framing = if (body.isWhole) "framed as whole" else "broken off"
    return "cut at $cut of ${response.text.length}: ${received.status} $framing with ${body.content.length} bytes"
}

class CutResponseSpec :
    DescribeSpec({
        isolationMode = IsolationMode.InstancePerLeaf
        val fleet = EdgeFleet()
        val targets = ArrayList<ScriptedTarget>()

        beforeEach { fleet.start() }
        afterEach { fleet.stop() }

        suspend fun callerOf(
            route: CutRoute,
            script: (ReceivedRequest) -> ScriptedResponse,
        ): RawCaller {
            repeat(TARGETS) { targets += fleet.target("i-$it", route.service, script) }
            fleet.configure(1, extraRoutes = "," + fleet.route("stream", "streaming", EdgeFleet.LLM, maxAttempts = 1))
            return RawCaller(fleet.gateway("g1"))
        }

        /** Returns the faults of all cuts, sent by as many callers as [lanes] at the same time. */
        suspend fun faultsOf(
            cuts: IntRange,
            lanes: Int,
            faultAt: suspend (Int) -> String?,
        ): List<String> =
            coroutineScope {
                val faults =
                    (0 until lanes).map { lane ->
                        async(Dispatchers.IO) { cuts.filter { it % lanes == lane }.mapNotNull { faultAt(it) } }
                    }
                faults.awaitAll().flatten()
            }

        suspend fun faultsOf(
            route: CutRoute,
            framing: BodyFraming,
            ending: ConnectionAction,
            status: String,
        ): List<String> {
            fun responseTo(request: ReceivedRequest) = FramedResponse(request, framing, route.pieces, status)
            val caller =
                callerOf(route) { ScriptedResponse(listOf(responseTo(it).text.take(cutOf(it))), ending) }
            // A target that listens again for one request would be taken for one that never stopped by another.
            val lanes = if (ending == ConnectionAction.CRASH) 1 else LANES
            return faultsOf(0..responseTo(requestAt(0)).text.length, lanes) { cut ->
                val received = caller.send(route.method, "/${route.name}/$cut", id = idAt(cut))
                targets.filter { target -> target.received.any { cutOf(it) == cut } }.forEach { it.listenAgain() }
                faultOf(received, responseTo(requestAt(cut)), cut, ending)
            }
        }

        // Guards against a success with an empty or short body, framed as whole, when a target ends in its response.
        ROUTES.forEach { route ->
            describe("a response to ${route.label}") {
                BodyFraming.entries.forEach { framing ->
                    ENDINGS.forEach { (ending, endingLabel) ->
                        it(
                            "with ${framing.label}, cut at each byte by $endingLabel, is never whole without all bytes",
                        ) {
                            faultsOf(route, framing, ending, "200 OK") shouldBe emptyList()
                        }
                    }
                }
            }
        }

        // Guards against a success, or a short error framed as whole, when a target ends in an error.
        ROUTES.forEach { route ->
            describe("an error in response to ${route.label}") {
                ENDINGS.forEach { (ending, endingLabel) ->
                    it("cut at each byte by $endingLabel, never becomes a success or a shorter error") {
                        faultsOf(route, BodyFraming.LENGTH, ending, "500 Error") shouldBe emptyList()
                    }
                }
            }
        }
    })
