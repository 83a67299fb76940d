package org.chestnutloom.integration

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.chestnutloom.integration.fleet.Fleet
import org.chestnutloom.integration.fleet.FleetOptions
import org.chestnutloom.integration.fleet.fleetDocument
import kotlin.time.Duration.Companion.seconds

/** Above the 1 s that a gateway waits for the table service, and well below the 10 s of the command-line tool. */
private val RESPONSE_DELAY = 3.seconds

/** Guards against operator commands that fail because the table service responds slowly on an overloaded machine. */
class SlowTableSpec :
    DescribeSpec({
        describe("a table service that takes seconds to respond") {
            it("still accepts changes of an operator") {
                Fleet(FleetOptions(gateways = 0, engines = 1, toolServices = 1)).use { fleet ->
                    fleet.start()
                    fleet.admin.setFault(fleet.table.url, "slow", delayMs = RESPONSE_DELAY.inWholeMilliseconds)
                    val result =
                        fleet.cli.applyDocument(
                            fleetDocument(fleet.options),
                            Fleet.ENVIRONMENT,
                            waitSeconds = 0,
                        )
                    result.exitCode shouldBe 0
                }
            }
        }
    })
