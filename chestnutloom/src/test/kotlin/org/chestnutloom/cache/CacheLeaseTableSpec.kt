package org.chestnutloom.cache

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import org.chestnutloom.id.ProgramId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class CacheLeaseTableSpec :
    DescribeSpec({
        val program = ProgramId("p1")
        val retention = CacheRetention(orphaned = 30.seconds, idle = 10.minutes)
        val listing = mapOf(program to 1_200L)

        fun CacheLeaseTable.sweepAt(
            now: Duration,
            listed: Map<ProgramId, Long> = listing,
            running: Set<ProgramId> = emptySet(),
            live: Set<String> = emptySet(),
        ) = sweep(listed, running, live, now, retention)

        val held = CacheLeaseTable.EMPTY.touch(program, "gw-a", 0.seconds)

        describe("a sweep") {
            it("keeps a program while its gateway lives, and frees it some time after the gateway is gone") {
                held.sweepAt(60.seconds, live = setOf("gw-a")).release.shouldBeEmpty()
                held.sweepAt(30.seconds).release.shouldBeEmpty()
                held.sweepAt(31.seconds).release shouldContainExactly setOf(program)
            }
            it("keeps a program that another gateway took over") {
                val takenOver = held.touch(program, "gw-b", 20.seconds)
                takenOver.sweepAt(60.seconds, live = setOf("gw-b")).release.shouldBeEmpty()
            }
            it("frees a program that is idle for too long although its gateway lives") {
                held.sweepAt(11.minutes, live = setOf("gw-a")).release shouldContainExactly setOf(program)
            }
            it("frees an ended program again when the engine still lists it, and keeps it when it comes back") {
                val ended = held.markEnded(program, 5.seconds)
                ended.sweepAt(6.seconds, live = setOf("gw-a")).release shouldContainExactly setOf(program)
                val back = ended.touch(program, "gw-a", 7.seconds)
                back.sweepAt(8.seconds, live = setOf("gw-a")).release.shouldBeEmpty()
            }
            it("gives programs that it does not know a grace, as after a restart") {
                val first = CacheLeaseTable.EMPTY.sweepAt(0.seconds)
                first.release.shouldBeEmpty()
                first.table.sweepAt(31.seconds).release shouldContainExactly setOf(program)
            }
            it("never frees a program with a call at the engine") {
                held
                    .markEnded(program, 1.seconds)
                    .sweepAt(60.minutes, running = setOf(program))
                    .release
                    .shouldBeEmpty()
                held.sweepAt(60.minutes, running = setOf(program)).release.shouldBeEmpty()
            }
            it("takes tokens from the listing, and none for programs that the engine evicted") {
                val table = held.sweepAt(1.seconds).table
                table.tokens shouldBe listing
                table.sweepAt(2.seconds, listed = emptyMap()).table.tokens shouldBe emptyMap()
            }
            it("frees every program in the end when nobody speaks of it, whatever happened before") {
                val programs = List(4) { ProgramId("p$it") }
                checkAll(
                    Arb.list(Arb.element(programs), 0..20),
                    Arb.list(Arb.element(programs), 0..20),
                ) { used, ended ->
                    val mentioned = used.fold(CacheLeaseTable.EMPTY) { table, id -> table.touch(id, "gw-a", 0.seconds) }
                    val table = ended.fold(mentioned) { kept, id -> kept.markEnded(id, 1.seconds) }
                    val listed = programs.associateWith { 1L }
                    val first = table.sweepAt(2.seconds, listed)
                    val second = first.table.sweepAt(33.seconds, listed)
                    (first.release + second.release) shouldBe programs.toSet()
                }
            }
        }

        describe("the cache of a paused program") {
            val costs =
                PauseCosts(
                    cachedTokens = 10_000,
                    expectedPause = 60.seconds,
                    prefillTokensPerSecond = 1_000.0,
                    transferTokensPerSecond = 50_000.0,
                    cacheUtilization = 0.9,
                    cacheTurnoverTime = 60.seconds,
                )

            it("stays while there is room or the program is back soon") {
                pauseAction(costs.copy(cacheUtilization = 0.2)) shouldBe PauseAction.KEEP
                pauseAction(costs.copy(expectedPause = 5.seconds)) shouldBe PauseAction.KEEP
            }
            it("is moved out when that costs less than computing it again") {
                pauseAction(costs) shouldBe PauseAction.EXPORT
                pauseAction(costs.copy(transferTokensPerSecond = 1_500.0)) shouldBe PauseAction.DROP
            }
        }
    })
