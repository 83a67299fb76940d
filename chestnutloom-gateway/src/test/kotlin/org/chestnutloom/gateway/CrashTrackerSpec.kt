package org.chestnutloom.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.gateway.call.CrashTracker
import org.chestnutloom.id.Incarnation
import org.chestnutloom.id.TargetId
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.mechanism.Mechanisms
import org.chestnutloom.wire.link.LinkFailure
import org.chestnutloom.wire.link.PeerAddress
import org.chestnutloom.wire.message.LoadReport

internal class CrashTrackerSpec :
    DescribeSpec({
        val first = TargetId("engine-1")
        val second = TargetId("engine-2")
        val run = Incarnation("i1")

        fun report(
            inFlight: List<String> = emptyList(),
            crashed: List<String> = emptyList(),
        ) = LoadReport(0, 0, 0, 4, 0, 0.0, emptyList(), emptyList(), emptyMap(), inFlight, crashed, false, true)

        describe("a body") {
            it("is refused after it was in flight at two crashes, however often each is reported") {
                val watch = CrashTracker(Mechanisms.ALL)
                repeat(3) { watch.recordReport(first, run, report(crashed = listOf("bad"))) }
                watch.check("bad") shouldBe null
                watch.recordReport(second, run, report(crashed = listOf("bad")))
                watch.check("bad")?.code shouldBe RefusalCode.QUARANTINED
                watch.check("good") shouldBe null
            }

            it("counts a sidecar that is gone or replaced together with its target") {
                val watch = CrashTracker(Mechanisms.ALL)
                watch.recordReport(first, run, report(inFlight = listOf("bad")))
                watch.recordLinkLoss(first, LinkFailure.Lost(PeerAddress("h", 1), "silent"))
                watch.recordLinkLoss(first, LinkFailure.Refused(PeerAddress("h", 1)))
                watch.recordLinkLoss(first, LinkFailure.Refused(PeerAddress("h", 1)))
                watch.check("bad") shouldBe null
                watch.recordReport(second, run, report(inFlight = listOf("bad")))
                watch.recordReport(second, Incarnation("i2"), report())
                watch.check("bad")?.code shouldBe RefusalCode.QUARANTINED
            }

            it("is not refused with the quarantine off") {
                val watch = CrashTracker(Mechanisms.without(setOf(Mechanism.QUARANTINE)))
                listOf(first, second).forEach { watch.recordReport(it, run, report(crashed = listOf("bad"))) }
                watch.check("bad") shouldBe null
            }
        }
    })
