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
            it("keeps a program while its gateway is alive, and releases it 30 seconds after the last use otherwise") {
                held.sweepAt(60.seconds, live = setOf("gw-a")).release.shouldBeEmpty()
                held.sweepAt(30.seconds).release.shouldBeEmpty()
                held.sweepAt(31.seconds).release shouldContainExactly setOf(program)
            }
            it("keeps a program that was taken over by another gateway") {
                val takenOver = held.touch(program, "gw-b", 20.seconds)
                takenOver.sweepAt(60.seconds, live = setOf("gw-b")).release.shouldBeEmpty()
            }
            it("releases a program after the idle limit although its gateway is alive") {
                held.sweepAt(11.minutes, live = setOf("gw-a")).release shouldContainExactly setOf(program)
            }
            it("releases an ended program that the engine still lists, and keeps it once it is used again") {
                val ended = held.markEnded(program, 5.seconds)
                ended.sweepAt(6.seconds, live = setOf("gw-a")).release shouldContainExactly setOf(program)
                val back = ended.touch(program, "gw-a", 7.seconds)
                back.sweepAt(8.seconds, live = setOf("gw-a")).release.shouldBeEmpty()
            }
            it("keeps unknown programs for the orphan retention, as after a restart") {
                val first = CacheLeaseTable.EMPTY.sweepAt(0.seconds)
                first.release.shouldBeEmpty()
                first.table.sweepAt(31.seconds).release shouldContainExactly setOf(program)
            }
            it("never releases a program with a call in flight") {
                held
                    .markEnded(program, 1.seconds)
                    .sweepAt(60.minutes, running = setOf(program))
                    .release
                    .shouldBeEmpty()
                held.sweepAt(60.minutes, running = setOf(program)).release.shouldBeEmpty()
            }
            it("takes token counts from the listing, and drops those of programs that the engine evicted") {
                val table = held.sweepAt(1.seconds).table
                table.tokens shouldBe listing
                table.sweepAt(2.seconds, listed = emptyMap()).table.tokens shouldBe emptyMap()
            }
            it("eventually releases all programs that are no longer used, for any history") {
                val programs = List(4) { ProgramId("p$it") }
                checkAll(
                    Arb.list(Arb.element(programs), 0..20),
                    Arb.list(Arb.element(programs), 0..20),
                ) { used, ended ->
                    val touched = used.fold(CacheLeaseTable.EMPTY) { table, id -> table.touch(id, "gw-a", 0.seconds) }
                    val table = ended.fold(touched) { table, id -> table.markEnded(id, 1.seconds) }
                    val listed = programs.associateWith { 1L }
                    val first = table.sweepAt(2.seconds, listed)
                    val second = first.table.sweepAt(33.seconds, listed)
                    (first.release + second.release) shouldBe programs.toSet()
                }
            }
        }

        describe("the cache of a program during a tool call") {
            val costs =
                PauseCosts(
                    cachedTokens = 10_000,
                    expectedPause = 60.seconds,
                    prefillTokensPerSecond = 1_000.0,
                    transferTokensPerSecond = 50_000.0,
                    cacheUtilization = 0.9,
                    cacheTurnoverTime = 60.seconds,
                )

            it("is kept while utilization is low or the pause is short") {
                pauseAction(costs.copy(cacheUtilization = 0.2)) shouldBe PauseAction.KEEP
                pauseAction(costs.copy(expectedPause = 5.seconds)) shouldBe PauseAction.KEEP
            }
            it("is exported if that is faster than recomputing it, and dropped otherwise") {
                pauseAction(costs) shouldBe PauseAction.EXPORT
                pauseAction(costs.copy(transferTokensPerSecond = 1_500.0)) shouldBe PauseAction.DROP
            }
        }
    })
