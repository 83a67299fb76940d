package org.chestnutloom.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import org.chestnutloom.gateway.GatewayFixture.Companion.model
import org.chestnutloom.gateway.GatewayFixture.Companion.pay
import org.chestnutloom.gateway.control.ProgramLocation
import org.chestnutloom.gateway.ingress.EventReplayFilter
import org.chestnutloom.wire.message.ForwardedEvent

internal class RequestForwardingSpec :
    DescribeSpec({
        lateinit var owner: GatewayFixture
        lateinit var receiver: GatewayFixture
        lateinit var link: FakeOwnerLink

        beforeEach {
            owner = GatewayFixture().start()
            link = FakeOwnerLink(owner)
            val control = FakeControlPlane()
            control.location = ProgramLocation.Remote(link)
            receiver = GatewayFixture(control).start()
        }

        afterEach {
            receiver.stop()
            owner.stop()
        }

        fun words(body: String): List<String> = Regex("\"word\":(\\d)").findAll(body).map { it.groupValues[1] }.toList()

        describe("a request at a gateway that does not own the program") {
            it("runs at the owner, and is admitted by the gateway that received it") {
                val program = receiver.openProgram()
                receiver.turn(program, 1, pay()).status shouldBe 200
                owner.turn(program, 1, pay()).body shouldBe receiver.turn(program, 1, pay()).body
                owner.payEffects shouldHaveSize 1
                receiver.payEffects shouldHaveSize 0
                receiver.control.admitted shouldBe 3
                owner.control.admitted shouldBe 0
            }

            it("runs once when the owner's answer is lost") {
                val program = receiver.openProgram()
                link.lostAnswers.set(2)
                receiver.turn(program, 1, pay()).status shouldBe 200
                owner.payEffects shouldHaveSize 1
            }

            it("gets one stream without gaps or duplicates when the link is lost") {
                val program = receiver.openProgram()
                link.abortAfterEvents = 2
                val body = receiver.turn(program, 1, model(stream = true)).body
                words(body) shouldBe listOf("0", "1", "2", "3")
                body shouldContain "[DONE]"
            }

            it("never combines events of different executions in one stream") {
                val program = receiver.openProgram()
                link.abortAfterEvents = 2
                var streams = 0
                link.transformEvent = { data ->
                    if (data.contains("\"word\":0")) streams++
                    data.replace("of", "run$streams")
                }
                val body = receiver.turn(program, 1, model(stream = true)).body
                words(body) shouldBe listOf("0", "1")
                body shouldContain "event: error"
                body shouldContain "\"execution\":\"unknown\""
                body shouldNotContain "[DONE]"
            }

            it("is refused with execution not_run when it never reached the owner") {
                val program = receiver.openProgram()
                link.refusesConnections = true
                val answer = receiver.turn(program, 1, pay())
                answer.errorCode() shouldBe "gateway_stale"
                answer.execution() shouldBe "not_run"
                owner.payEffects shouldHaveSize 0
            }

            it("has an unknown outcome when the owner may have received it but does not answer") {
                val program = receiver.openProgram()
                link.lostAnswers.set(Int.MAX_VALUE)
                receiver.turn(program, 1, pay()).execution() shouldBe "unknown"
                owner.payEffects shouldHaveSize 1
            }
        }

        describe("the replay filter") {
            it("reports an attempt that ends too early as incomplete, and an index gap as a mismatch") {
                val filter = EventReplayFilter()
                (0..2).forEach { filter.accept(ForwardedEvent(it, "$it")) }
                filter.restart()
                filter.accept(ForwardedEvent(0, "0"))
                filter.isComplete() shouldBe false
                filter.accept(ForwardedEvent(2, "2")).name shouldBe "MISMATCH"
            }
        }
    })
