package org.chestnutloom.edge.config

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.chestnutloom.edge.VirtualClock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val LIMITS =
    RequestLimits(maxHeaderBytes = 1, maxBodyBytes = 1, headerTimeout = 1.seconds, idleTimeout = 1.seconds)

private fun configuration(version: Long) =
    EdgeConfiguration(version, persistentListOf(), persistentMapOf(), LIMITS, accounts = null)

class ConfigurationHolderSpec :
    DescribeSpec({
        describe("a process that has just started") {
            it("lets requests wait for its first configuration") {
                runTest {
                    val holder = ConfigurationHolder(VirtualClock(this))
                    val awaited = async { holder.awaitCurrent()?.version }
                    delay(250.milliseconds)
                    holder.offer(configuration(version = 3))
                    awaited.await() shouldBe 3
                    currentTime shouldBe 250
                }
            }

            it("returns null without another wait after the first read timed out") {
                runTest {
                    val holder = ConfigurationHolder(VirtualClock(this))
                    holder.awaitCurrent() shouldBe null
                    val secondCallAtMs = currentTime
                    holder.awaitCurrent() shouldBe null
                    currentTime shouldBe secondCallAtMs
                }
            }
        }

        describe("a configuration that is older than the current one") {
            it("is ignored") {
                runTest {
                    val holder = ConfigurationHolder(VirtualClock(this))
                    holder.offer(configuration(version = 3))
                    holder.offer(configuration(version = 2))
                    holder.current?.version shouldBe 3
                }
            }
        }
    })
