package org.chestnutloom.edge.http

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.random.Random

/** The first seed, or that of the system property `connectionOrders.seed`. */
private val FIRST_SEED = System.getProperty("connectionOrders.seed")?.toLong() ?: 1L

/** For each test. */
private val ORDERS = System.getProperty("connectionOrders.count")?.toInt() ?: 1_300

private val BY_SERVER = listOf(ConnectionEnding.FIN, ConnectionEnding.RESET)

private val WITH_BODY = listOf(MessageFraming.LENGTH, MessageFraming.CHUNKS, MessageFraming.CLOSE)

private const val SHOWN_FAULTS = 3

/** Returns the first faults of random orders, each with its seed. */
private fun faultsOf(
    disorders: List<Disorder>,
    endings: List<ConnectionEnding> = BY_SERVER,
    framings: List<MessageFraming> = WITH_BODY,
): List<String> =
    (FIRST_SEED until FIRST_SEED + ORDERS)
        .asSequence()
        .mapNotNull { seed ->
            val order = ConnectionOrder(Random(seed), disorders, endings, framings)
            ScriptedConnection(order).fault()?.let { "seed $seed: $it" }
        }.take(SHOWN_FAULTS)
        .toList()

class HttpConnectionOrderSpec :
    DescribeSpec({
        describe("a connection on which responses are received in random orders and reads") {
            it("passes on whole responses and serves the next request") {
                faultsOf(listOf(Disorder.NONE)) shouldBe emptyList()
            }

            it("skips whole late responses") {
                faultsOf(listOf(Disorder.LATE_WHOLE)) shouldBe emptyList()
            }

            // Guards against the status of a late response in front of the response to the next request.
            it("takes nothing from a part of a late response") {
                faultsOf(listOf(Disorder.LATE_PART)) shouldBe emptyList()
            }

            // Guards against a second response that is taken for that to the next request.
            it("serves no request after another whole response") {
                faultsOf(listOf(Disorder.EXTRA_WHOLE)) shouldBe emptyList()
            }

            // Guards against bytes behind a response that are joined to the response to the next request.
            it("serves no request after a part of another response") {
                faultsOf(listOf(Disorder.EXTRA_PART)) shouldBe emptyList()
            }

            // Guards against a cut response that is taken for a whole one.
            it("passes on no end of a response that is cut") {
                faultsOf(listOf(Disorder.CUT)) shouldBe emptyList()
            }

            // Guards against a response without a length that looks complete as the client itself closed the connection.
            it("passes on no end of a response whose connection the client closes") {
                faultsOf(listOf(Disorder.NONE, Disorder.CUT), listOf(ConnectionEnding.SILENCE)) shouldBe emptyList()
            }

            // Guards against a connection that is closed, or a response that is cut, as it has no body.
            it("keeps to all this with responses without a body") {
                faultsOf(Disorder.entries, framings = MessageFraming.entries) shouldBe emptyList()
            }
        }
    })
