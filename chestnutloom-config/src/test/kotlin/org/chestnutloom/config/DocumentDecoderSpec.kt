package org.chestnutloom.config

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import org.chestnutloom.call.CallKind
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.TargetId
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

private val document =
    """
    accounts { ward-9 { rate_per_second = 5, burst = 10, weight = 2 }, "a.b" { rate_per_second = 0.5, burst = 1 } }
    models { rattan-8b { context_tokens = 32768, max_completion_tokens = 512 } }
    services { cane-payments { targets = [pay-1], idempotent = false } }
    targets {
      engine-1 { kind = model, models = [rattan-8b], max_running = 8, verifies_orders = true }
      pay-1 { kind = tool, max_running = 4 }
    }
    open_routes = [ { path = /hours, method = GET, service = cane-payments } ]
    limits { queue_timeout_ms = 1500 }
    """.trimIndent()

class DocumentDecoderSpec :
    DescribeSpec({
        fun faultsOf(text: String) = documentDecoder().decode(text).leftOrNull().shouldNotBeNull()

        describe("a valid document") {
            val settings = documentDecoder().decode(document).getOrNull().shouldNotBeNull()

            it("is decoded into typed settings, with defaults for omitted settings") {
                settings.accounts[ClientAccountId("ward-9")] shouldBe AccountSettings(5.0, 10, 2)
                settings.accounts[ClientAccountId("a.b")] shouldBe AccountSettings(0.5, 1, 1)
                settings.targets.getValue(TargetId("engine-1")).kind shouldBe CallKind.MODEL
                settings.targets.getValue(TargetId("pay-1")).verifiesOrders shouldBe false
                settings.openRoutes shouldContainExactly listOf(OpenRoute("/hours", "GET", "cane-payments"))
                settings.limits.queueTimeout shouldBe 1500.milliseconds
                settings.limits.maxBodyBytes shouldBe 4194304
            }
        }

        describe("a faulty document") {
            it("is rejected with a list of all faults, each with its path and line") {
                val text =
                    """
                    accounts { w { rate_per_second = 0, burst = 1.5 } }
                    models { m { context_tokens = 10, max_completion_tokens = 11 } }
                    services { s { targets = [nowhere], idempotent = maybe } }
                    targets { t { kind = model, models = [gone], max_running = 1, speed = 3 } }
                    open_routes = [ { path = hours, service = none } ]
                    extra = 1
                    """.trimIndent()
                faultsOf(text).map { it.path to it.line } shouldContainExactly
                    listOf(
                        "accounts.w.rate_per_second" to 1,
                        "accounts.w.burst" to 1,
                        "models.m.max_completion_tokens" to 2,
                        "services.s.idempotent" to 3,
                        "services.s.targets" to 3,
                        "targets.t.speed" to 4,
                        "targets.t.models" to 4,
                        "open_routes[0].path" to 5,
                        "open_routes[0].service" to 5,
                        "extra" to 6,
                    )
            }

            it("reports missing settings without a line") {
                faultsOf("accounts { w { burst = 1 } }") shouldContainExactly
                    listOf(DocumentFault("accounts.w.rate_per_second", null, "is missing"))
            }

            it("reports syntax faults, includes and unresolved references") {
                faultsOf("accounts {\n  w { burst = ").single().path shouldBe "document"
                faultsOf("a = 1\ninclude file(\"x\")").single().problem shouldContain "include"
                faultsOf("limits { max_body_bytes = \${HOME} }").shouldNotBeEmpty()
            }
        }

        describe("a randomly corrupted document") {
            it("is decoded or rejected without an exception") {
                checkAll(PropTestConfig(seed = 7, iterations = 2000), Arb.int()) { seed ->
                    val random = Random(seed)
                    val corrupted = StringBuilder(document)
                    repeat(random.nextInt(1, 6)) {
                        val at = random.nextInt(corrupted.length)
                        if (random.nextBoolean()) {
                            corrupted.deleteCharAt(
                                at,
                            )
                        } else {
                            corrupted.insert(at, "{}[],=\".:\n$0x".random(random))
                        }
                    }
                    documentDecoder().decode(corrupted.toString()).onLeft { it.shouldNotBeEmpty() }
                }
            }
        }

        describe("the difference of two documents") {
            it("lists each changed setting with its path, old value and new value") {
                val changes = diffDocuments("a { b = 1, c = [x] }", "a { b = 2, d = y }").getOrNull().shouldNotBeNull()
                changes shouldContainExactly
                    listOf(
                        DocumentChange("a.b", "1", "2"),
                        DocumentChange("a.c", "[\"x\"]", null),
                        DocumentChange("a.d", null, "\"y\""),
                    )
                diffDocuments(document, document).getOrNull().shouldNotBeNull().size shouldBe 0
            }
        }
    })
