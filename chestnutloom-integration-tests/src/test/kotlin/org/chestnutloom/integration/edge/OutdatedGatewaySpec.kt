package org.chestnutloom.integration.edge

import io.kotest.core.spec.IsolationMode
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.chestnutloom.fakes.edge.streamResponse

private const val RETAINED = "\"retained\":true,\"retentionS\":60"

class OutdatedGatewaySpec :
    DescribeSpec({
        isolationMode = IsolationMode.InstancePerLeaf
        val fleet = EdgeFleet()
        val plain = fleet.route("hold", "streaming", EdgeFleet.LLM, maxAttempts = 1)
        val kept = fleet.route("hold/kept", "streaming", EdgeFleet.LLM, maxAttempts = 1, extraFields = RETAINED)

        /** A route that shows which configuration a gateway has. */
        val marker = fleet.route("marker", "idempotent", EdgeFleet.PLAIN, maxAttempts = 1)

        beforeEach { fleet.start() }
        afterEach { fleet.stop() }

        suspend fun RawCaller.turn(
            id: String,
            previous: String? = null,
            key: String = "key-a",
        ): RawResponse {
            val headers = previous?.let { mapOf("Chestnutloom-Previous-Turn" to it) }.orEmpty()
            return send("POST", "/hold/kept/1", "input of $id ", id, key, headers)
        }

        /**
         * Has a turn served with a configuration that adds routes and keys, and sends the next one to a gateway that has the one
         * before and whose connections to the store are silent. Returns the body that the target got last.
         */
        suspend fun lastBody(
            routesBefore: String,
            routesAfter: String,
            keysAfter: String = "\"key-a\"",
            key: String = "key-a",
        ): String {
            fleet.configure(version = 1, extraRoutes = routesBefore)
            val target = fleet.target("e-1", EdgeFleet.LLM) { streamResponse(it, listOf("one")) }
            val current = RawCaller(fleet.gateway("g1"))
            fleet.proxyStore()
            val outdated = RawCaller(fleet.gateway("g2"))
            fleet.silenceStoreConnections()
            fleet.configure(version = 2, extraRoutes = "$routesAfter,$marker", keys = keysAfter)
            eventually { current.send("GET", "/marker/1").status != 404 }
            eventually { current.turn("t1", key = key).hasLastChunk }
            outdated.turn("t2", previous = "t1", key = key).hasLastChunk shouldBe true
            return target.received
                .last()
                .body
                .decodeToString()
        }

        describe(
            "a turn that continues one on a route that was just added, at a gateway that does not know the route yet",
        ) {
            // Guards against a final 404 for a turn that was answered whole (review/15).
            it("is served if there is no other route") {
                lastBody(routesBefore = "", routesAfter = ",$kept") shouldBe "input of t1 one\ninput of t2 "
            }

            // Guards against a target that gets a turn without those before it (review/12).
            it("is served with the turns before it if an older route would match") {
                lastBody(routesBefore = ",$plain", routesAfter = ",$plain,$kept") shouldBe
                    "input of t1 one\ninput of t2 "
            }

            // Guards against a final 401 for a turn whose key is as new as its route.
            it("is served if its key was just added too") {
                lastBody(",$kept", ",$kept", keysAfter = "\"key-a\",\"key-c\"", key = "key-c") shouldBe
                    "input of t1 one\ninput of t2 "
            }
        }
    })
