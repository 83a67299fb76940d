package org.chestnutloom.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.gateway.call.CrashWatch
import org.chestnutloom.id.Incarnation
import org.chestnutloom.id.TargetId
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.mechanism.Mechanisms
import org.chestnutloom.wire.link.LinkFailure
import org.chestnutloom.wire.link.PeerAddress
import org.chestnutloom.wire.message.LoadReport

internal class CrashWatchSpec :
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
                val watch = CrashWatch(Mechanisms.ALL)
                repeat(3) { watch.reported(first, incarnation, report(crashed = listOf("bad"))) }
                watch.check("bad") shouldBe null
                watch.reported(second, incarnation, report(crashed = listOf("bad")))
                watch.check("bad")?.code shouldBe RefusalCode.QUARANTINED
                watch.check("good") shouldBe null
            }

            it("counts a lost or restarted sidecar as a crash of its target") {
                val watch = CrashWatch(Mechanisms.ALL)
                watch.reported(first, incarnation, report(inFlight = listOf("bad")))
                watch.linkLost(first, LinkFailure.Lost(PeerAddress("h", 1), "silent"))
                watch.linkLost(first, LinkFailure.Refused(PeerAddress("h", 1)))
                watch.linkLost(first, LinkFailure.Refused(PeerAddress("h", 1)))
                watch.check("bad") shouldBe null
                watch.reported(second, incarnation, report(inFlight = listOf("bad")))
                watch.reported(second, Incarnation("i2"), report())
                watch.check("bad")?.code shouldBe RefusalCode.QUARANTINED
            }

            it("is not quarantined when the quarantine mechanism is disabled") {
                val watch = CrashWatch(Mechanisms.without(setOf(Mechanism.QUARANTINE)))
                listOf(first, second).forEach { watch.reported(it, incarnation, report(crashed = listOf("bad"))) }
                watch.check("bad") shouldBe null
            }
        }
    })
