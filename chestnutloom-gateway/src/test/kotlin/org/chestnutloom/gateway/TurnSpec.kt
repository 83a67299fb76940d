package org.chestnutloom.gateway

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.gateway.GatewayFixture.Companion.completion
import org.chestnutloom.gateway.GatewayFixture.Companion.model
import org.chestnutloom.gateway.GatewayFixture.Companion.pay
import org.chestnutloom.gateway.GatewayFixture.Companion.text
import org.chestnutloom.id.KeyId
import org.chestnutloom.wire.message.EndProgram
import org.chestnutloom.wire.message.ForgetCalls
import kotlin.time.Duration.Companion.seconds

internal class TurnSpec :
    DescribeSpec({
        suspend fun withGateway(
            control: FakeControlPlane = FakeControlPlane(),
            block: suspend GatewayFixture.() -> Unit,
        ) {
            val gateway = GatewayFixture(control).start()
            try {
                gateway.block()
            } finally {
                gateway.stop()
            }
        }

        describe("a program") {
            it("runs turns in order, answers retries from the recorded turn, and returns its history") {
                withGateway {
                    val program = openProgram()
                    turn(program, 1, model()).status shouldBe 200
                    val paid = turn(program, 2, pay())
                    paid.json().text("status") shouldBe "200"
                    turn(program, 2, pay()).body shouldBe paid.body
                    turn(program, 2, pay(2)).errorCode() shouldBe "turn_mismatch"
                    payEffects shouldHaveSize 1
                    val shown = send("GET", "/v1/programs/$program?history=true").json()
                    shown.text("last_turn") shouldBe "2"
                    shown.text("spent") shouldContain "\"tokens\":30,\"calls\":2"
                    shown.text("history") shouldContain "\"turn\":2"
                    send("GET", "/v1/programs/$program/turns/2").body shouldBe paid.body
                }
            }

            it("delays an early turn, and refuses it if the preceding turns do not arrive") {
                withGateway(FakeControlPlane(targets = listOf("engine-1"))) {
                    val program = openProgram()
                    val early = turn(program, 2, model())
                    early.errorCode() shouldBe "turn_out_of_order"
                    early.execution() shouldBe "not_run"
                    coroutineScope {
                        val waiting = async(Dispatchers.IO) { turn(program, 2, model("two")) }
                        turn(program, 1, model("one")).status shouldBe 200
                        waiting.await().status shouldBe 200
                    }
                    modelEffects.map { it.body.contains("two") } shouldBe listOf(false, true)
                }
            }

            it("is hidden from other client accounts") {
                withGateway {
                    val program = openProgram()
                    turn(program, 1, model(), FakeControlPlane.CAFE_BEARER).errorCode() shouldBe "not_found"
                    modelEffects shouldHaveSize 0
                }
            }

            it("is opened once for an id chosen by its caller") {
                withGateway {
                    val first = openProgram(extra = ""","id":"quote-7"""")
                    turn(first, 1, model())
                    openProgram(extra = ""","id":"quote-7"""") shouldBe first
                    send("GET", "/v1/programs/$first").json().text("last_turn") shouldBe "1"
                }
            }

            it("releases engine memory and accepts no further turns once closed") {
                withGateway {
                    val program = openProgram()
                    turn(program, 1, model())
                    send("POST", "/v1/programs/$program/close").json().text("state") shouldBe "closed"
                    turn(program, 2, model()).errorCode() shouldBe "program_ended"
                    eventually(10.seconds) {
                        sidecars.values.flatMap { it.requests }.filterIsInstance<EndProgram>() shouldHaveSize 1
                    }
                }
            }
        }

        describe("a budget") {
            it("refuses a call that exceeds it") {
                withGateway {
                    val program = openProgram(tokens = 15)
                    val refused = turn(program, 1, model())
                    refused.status shouldBe 402
                    refused.errorCode() shouldBe "budget_exhausted"
                    modelEffects shouldHaveSize 0
                }
            }

            it("ends a looping program") {
                withGateway {
                    val program = openProgram(calls = 2)
                    turn(program, 1, model("a")).status shouldBe 200
                    turn(program, 2, model("b")).status shouldBe 200
                    turn(program, 3, model("c")).errorCode() shouldBe "budget_exhausted"
                    send("GET", "/v1/programs/$program").json().text("state") shouldBe "exhausted"
                }
            }

            it("reserves a sub-agent's share and returns the unused part") {
                withGateway {
                    val parent = openProgram(tokens = 1000, calls = 5)
                    val child = openProgram(tokens = 400, calls = 3, extra = ""","parent":"$parent"""")
                    val excess = """{"budget":{"tokens":700,"calls":1,"wall_time_ms":9},"parent":"$parent"}"""
                    send("POST", "/v1/programs", excess).errorCode() shouldBe "budget_exhausted"
                    turn(child, 1, model()).status shouldBe 200
                    send("POST", "/v1/programs/$child/close").status shouldBe 200
                    val shown = send("GET", "/v1/programs/$parent").json()
                    shown.text("spent") shouldContain "\"tokens\":30,\"calls\":1"
                    shown.text("reserved") shouldContain "\"tokens\":0,\"calls\":0"
                }
            }
        }

        describe("a non-idempotent call") {
            it("runs once when its reply is lost") {
                withGateway {
                    sidecars.values.forEach { it.linkLossesAfterRun = 1 }
                    val program = openProgram()
                    turn(program, 1, pay()).status shouldBe 200
                    payEffects shouldHaveSize 1
                }
            }

            it("is sent to another sidecar when it is known not to have run") {
                withGateway {
                    sidecars.values.forEach { it.linkLossesBeforeRun = 1 }
                    val program = openProgram()
                    turn(program, 1, pay()).status shouldBe 200
                    payEffects shouldHaveSize 1
                }
            }

            it("keeps an unknown outcome permanently when its sidecar restarts") {
                withGateway {
                    val gate = CompletableDeferred<Unit>()
                    sidecars.values.forEach { it.gate = gate }
                    sidecars.values.forEach { it.linkLossesAfterRun = 1 }
                    val program = openProgram()
                    coroutineScope {
                        val first = async(Dispatchers.IO) { turn(program, 1, pay()) }
                        eventually(10.seconds) { payEffects shouldHaveSize 1 }
                        sidecars.values.forEach { it.incarnation = "i2" }
                        gate.complete(Unit)
                        first.await().execution() shouldBe "unknown"
                    }
                    turn(program, 1, pay()).execution() shouldBe "unknown"
                    payEffects shouldHaveSize 1
                    turn(program, 2, pay(2)).status shouldBe 200
                    send("GET", "/v1/programs/$program").json().text("reserved") shouldContain "\"calls\":1"
                }
            }

            it("is refused with execution not_run while the store is unavailable, and model calls continue") {
                withGateway {
                    val program = openProgram()
                    control.journal.isUnavailable = true
                    val refused = turn(program, 1, pay())
                    refused.errorCode() shouldBe "store_unavailable"
                    refused.execution() shouldBe "not_run"
                    turn(program, 1, model()).status shouldBe 200
                    payEffects shouldHaveSize 0
                    val notices = sidecars.values.flatMap { it.requests }.filterIsInstance<ForgetCalls>()
                    notices shouldHaveSize 0
                }
            }

            it("is sent only with a current freshness proof") {
                withGateway {
                    val program = openProgram()
                    control.proofRefusal = Refusal(RefusalCode.GATEWAY_STALE, Execution.NOT_RUN, "No fresh proof.")
                    control.location = null
                    sidecars.values.flatMap { it.effects } shouldHaveSize 0
                    send("POST", "/v1/chat/completions", completion()).errorCode() shouldBe "gateway_stale"
                    program.isNotEmpty() shouldBe true
                    modelEffects shouldHaveSize 0
                }
            }
        }

        describe("a gateway that takes over ownership") {
            suspend fun interruptedPay(
                control: FakeControlPlane,
                sidecars: Map<String, FakeSidecar>,
            ): String {
                val gate = CompletableDeferred<Unit>()
                sidecars.values.forEach { it.gate = gate }
                val first = GatewayFixture(control, sidecars).start()
                val program = first.openProgram()
                coroutineScope {
                    val interrupted = async(Dispatchers.IO) { runCatching { first.turn(program, 1, pay()) } }
                    eventually(10.seconds) { first.payEffects shouldHaveSize 1 }
                    first.stop()
                    interrupted.await()
                }
                control.epoch = 2
                sidecars.values.forEach { it.gate = null }
                return program
            }

            it("retrieves the answer of a call sent by the previous owner") {
                val control = FakeControlPlane()
                val sidecars = control.entries.associate { it.id to FakeSidecar(it.id) }
                val program = interruptedPay(control, sidecars)
                sidecars.values.forEach { sidecar ->
                    sidecar.effects.forEach { sidecar.answers[it.id] = FakeAnswers.paid }
                }
                val second = GatewayFixture(control, sidecars).start()
                eventually(10.seconds) { second.turn(program, 1, pay()).body shouldContain "collected" }
                second.payEffects shouldHaveSize 1
                second.stop()
            }

            it("reports a permanently unknown outcome when the sidecar restarted too") {
                val control = FakeControlPlane()
                val sidecars = control.entries.associate { it.id to FakeSidecar(it.id) }
                val program = interruptedPay(control, sidecars)
                sidecars.values.forEach { it.incarnation = "i2" }
                val second = GatewayFixture(control, sidecars).start()
                eventually(10.seconds) { second.turn(program, 1, pay()).execution() shouldBe "unknown" }
                second.payEffects shouldHaveSize 1
                second.stop()
            }
        }

        describe("a streamed turn") {
            it("resumes after a lost link without gaps or duplicates") {
                withGateway {
                    sidecars.values.forEach { it.linkLossAfterChunks = 2 }
                    val program = openProgram()
                    val answer = turn(program, 1, model(stream = true))
                    Regex("\"word\":(\\d)").findAll(answer.body).map { it.groupValues[1] }.toList() shouldBe
                        listOf("0", "1", "2", "3")
                    answer.body.trim().endsWith("data: [DONE]") shouldBe true
                    turn(program, 1, model(stream = true)).body shouldBe answer.body
                    modelEffects shouldHaveSize 1
                }
            }

            it("ends with an error event and without [DONE] when its access key is withdrawn") {
                withGateway {
                    val gate = CompletableDeferred<Unit>()
                    sidecars.values.forEach { it.gate = gate }
                    val program = openProgram()
                    coroutineScope {
                        val answer = async(Dispatchers.IO) { turn(program, 1, model(stream = true)) }
                        eventually(10.seconds) { modelEffects shouldHaveSize 1 }
                        control.withdraw(KeyId("key-ward"))
                        val body = answer.await().body
                        body shouldContain "cancelled"
                        body shouldNotContain "[DONE]"
                    }
                    turn(program, 2, model()).status shouldBe 401
                }
            }
        }

        describe("a chat completion without a program") {
            it("is sent to another target when one refuses it") {
                withGateway {
                    sidecars.getValue("engine-1").refusal =
                        Refusal(RefusalCode.OVERLOADED, Execution.NOT_RUN, "The queue is full.")
                    repeat(4) { send("POST", "/v1/chat/completions", completion("$it")).status shouldBe 200 }
                    sidecars.getValue("engine-2").effects shouldHaveSize 4
                }
            }
        }
    })
