package org.chestnutloom.integration.edge

import io.kotest.core.spec.IsolationMode
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.withTimeout
import kotlin.time.Duration.Companion.minutes

class MembershipSpec :
    DescribeSpec({
        isolationMode = IsolationMode.InstancePerLeaf
        val fleet = EdgeFleet()

        beforeEach {
            fleet.start()
            fleet.configure(version = 1)
        }
        afterEach { fleet.stop() }

        suspend fun eventuallyRegistered(vararg names: String) {
            withTimeout(1.minutes) { eventually { fleet.registeredGateways == names.toList() } }
        }

        describe("a gateway's row") {
            it("is removed when the gateway shuts down gracefully") {
                listOf("g1", "g2").forEach { fleet.gateway(it) }
                eventuallyRegistered("g1", "g2")
                fleet.stopGateway("g1")
                fleet.registeredGateways shouldBe listOf("g2")
            }

            it("is removed by the other gateways when the gateway is unreachable") {
                listOf("g1", "g2").forEach { fleet.gateway(it) }
                fleet.registerUnreachable("g3")
                eventuallyRegistered("g1", "g2")
            }

            it("is written again when other gateways remove it while the gateway runs") {
                listOf("g1", "g2").forEach { fleet.gateway(it) }
                eventuallyRegistered("g1", "g2")
                fleet.store.remove("gateways", "g1")
                eventuallyRegistered("g1", "g2")
            }
        }
    })
