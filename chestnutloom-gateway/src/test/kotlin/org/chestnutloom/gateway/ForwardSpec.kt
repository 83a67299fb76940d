package org.chestnutloom.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import org.chestnutloom.gateway.Rig.Companion.model
import org.chestnutloom.gateway.Rig.Companion.pay
import org.chestnutloom.gateway.control.ProgramLocation
import org.chestnutloom.gateway.ingress.EventSplice
import org.chestnutloom.wire.message.ForwardedEvent

internal class ForwardSpec :
    DescribeSpec({
        lateinit var owner: Rig
        lateinit var ingress: Rig
        lateinit var link: FakeOwnerLink

        beforeEach {
            owner = Rig().start()
            link = FakeOwnerLink(owner)
            val control = FakeControl()
            control.location = ProgramLocation.Remote(link)
            ingress = Rig(control).start()
        }

        afterEach {
            ingress.stop()
            owner.stop()
        }

        fun words(body: String): List<String> = Regex("\"word\":(\\d)").findAll(body).map { it.groupValues[1] }.toList()

        describe("a request at a gateway that does not own the program") {
            it("runs at the owner, and is admitted where it came in") {
                val program = ingress.openProgram()
                ingress.turn(program, 1, pay()).status shouldBe 200
                owner.turn(program, 1, pay()).body shouldBe ingress.turn(program, 1, pay()).body
                owner.payEffects shouldHaveSize 1
                ingress.payEffects shouldHaveSize 0
                ingress.control.admitted shouldBe 3
                owner.control.admitted shouldBe 0
            }

            it("runs once when the owner's answer is lost") {
                val program = ingress.openProgram()
                link.lostAnswers.set(2)
                ingress.turn(program, 1, pay()).status shouldBe 200
                owner.payEffects shouldHaveSize 1
            }

            it("gets one stream without gaps or repeats over a broken link") {
                val program = ingress.openProgram()
                link.breakAfterEvents = 2
                val body = ingress.turn(program, 1, model(stream = true)).body
                words(body) shouldBe listOf("0", "1", "2", "3")
                body shouldContain "[DONE]"
            }

            it("never joins the starts and ends of different runs") {
                val program = ingress.openProgram()
                link.breakAfterEvents = 2
                var streams = 0
                link.disguise = { data ->
                    if (data.contains("\"word\":0")) streams++
                    data.replace("of", "run$streams")
                }
                val body = ingress.turn(program, 1, model(stream = true)).body
                words(body) shouldBe listOf("0", "1")
                body shouldContain "event: error"
                body shouldContain "\"execution\":\"unknown\""
                body shouldNotContain "[DONE]"
            }

            it("is refused as not run when it never reached the owner") {
                val program = ingress.openProgram()
                link.refuses = true
                val answer = ingress.turn(program, 1, pay())
                answer.errorCode() shouldBe "gateway_stale"
                answer.execution() shouldBe "not_run"
                owner.payEffects shouldHaveSize 0
            }

            it("has an unknown outcome when it may have reached an owner that does not answer") {
                val program = ingress.openProgram()
                link.lostAnswers.set(Int.MAX_VALUE)
                ingress.turn(program, 1, pay()).execution() shouldBe "unknown"
                owner.payEffects shouldHaveSize 1
            }
        }

        describe("a splice") {
            it("takes a repeat that goes farther and refuses one that stops short") {
                val splice = EventSplice()
                (0..2).forEach { splice.accept(ForwardedEvent(it, "$it")) }
                splice.restart()
                splice.accept(ForwardedEvent(0, "0"))
                splice.isComplete() shouldBe false
                splice.accept(ForwardedEvent(2, "2")).name shouldBe "MISMATCH"
            }
        }
    })
