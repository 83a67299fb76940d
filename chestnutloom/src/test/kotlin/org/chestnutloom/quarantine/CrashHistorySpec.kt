package org.chestnutloom.quarantine

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe

class CrashHistorySpec :
    DescribeSpec({
        describe("a crash history") {
            it("suspects a body after one crash and quarantines it after two") {
                val once = CrashHistory.empty().recordCrash(listOf("h1", "h2"), "crash 1")
                once.verdictOf("h1") shouldBe CrashVerdict.SUSPECT
                val twice = once.recordCrash(listOf("h1"), "crash 2")
                twice.verdictOf("h1") shouldBe CrashVerdict.QUARANTINED
                twice.verdictOf("h2") shouldBe CrashVerdict.SUSPECT
                twice.verdictOf("h3") shouldBe CrashVerdict.CLEAR
                twice.crashedHashes shouldContainExactly listOf("h1", "h1", "h2")
            }
            it("counts a crash once even if it is reported repeatedly") {
                val history = CrashHistory.empty().recordCrash(listOf("h1"), "crash 1")
                history.recordCrash(listOf("h1"), "crash 1").verdictOf("h1") shouldBe CrashVerdict.SUSPECT
            }
            it("clears a suspect that ran alone without a crash, and never lifts a quarantine") {
                val suspect = CrashHistory.empty().recordCrash(listOf("h1"), "crash 1")
                suspect.recordSurvival("h1").verdictOf("h1") shouldBe CrashVerdict.CLEAR
                val quarantined = suspect.recordCrash(listOf("h1"), "crash 2")
                quarantined.recordSurvival("h1").verdictOf("h1") shouldBe CrashVerdict.QUARANTINED
            }
            it("keeps at most the maximum number of bodies") {
                val history = CrashHistory.empty(maxHashes = 2)
                val full =
                    listOf(
                        "h1",
                        "h2",
                        "h3",
                    ).fold(history) { kept, hash -> kept.recordCrash(listOf(hash), "of $hash") }
                full.crashedHashes shouldContainExactly listOf("h2", "h3")
            }
        }
    })
