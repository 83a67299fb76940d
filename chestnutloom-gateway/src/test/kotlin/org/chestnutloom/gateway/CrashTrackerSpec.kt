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
        val incarnation = Incarnation("i1")

        fun report(
            inFlight: List<String> = emptyList(),
            crashed: List<String> = emptyList(),
        ) = LoadReport(0, 0, 0, 4, 0, 0.0, emptyList(), emptyList(), emptyMap(), inFlight, crashed, false, true)

        describe("a request body") {
            it("is quarantined after two crashes with it in flight, even if a crash is reported repeatedly") {
                val tracker = CrashTracker(Mechanisms.ALL)
                repeat(3) { tracker.recordReport(first, incarnation, report(crashed = listOf("bad"))) }
                tracker.check("bad") shouldBe null
                tracker.recordReport(second, incarnation, report(crashed = listOf("bad")))
                tracker.check("bad")?.code shouldBe RefusalCode.QUARANTINED
                tracker.check("good") shouldBe null
            }

            it("counts a failed or restarted sidecar as a crash of its target") {
                val tracker = CrashTracker(Mechanisms.ALL)
                tracker.recordReport(first, incarnation, report(inFlight = listOf("bad")))
                tracker.recordLinkLoss(first, LinkFailure.Lost(PeerAddress("h", 1), "silent"))
                tracker.recordLinkLoss(first, LinkFailure.Refused(PeerAddress("h", 1)))
                tracker.recordLinkLoss(first, LinkFailure.Refused(PeerAddress("h", 1)))
                tracker.check("bad") shouldBe null
                tracker.recordReport(second, incarnation, report(inFlight = listOf("bad")))
                tracker.recordReport(second, Incarnation("i2"), report())
                tracker.check("bad")?.code shouldBe RefusalCode.QUARANTINED
            }

            it("is not quarantined when the quarantine mechanism is disabled") {
                val tracker = CrashTracker(Mechanisms.without(setOf(Mechanism.QUARANTINE)))
                listOf(first, second).forEach { tracker.recordReport(it, incarnation, report(crashed = listOf("bad"))) }
                tracker.check("bad") shouldBe null
            }
        }
    })
