package org.chestnutloom.fakes.engine

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import org.chestnutloom.time.manualClock
import kotlin.time.Duration.Companion.milliseconds

private const val SEED = 7L

class PrefixCacheSpec :
    DescribeSpec({
        describe("a prefix cache") {
            it("evicts the least recently used programs when it exceeds its capacity in tokens") {
                val changes = mutableListOf<String>()
                val cache = PrefixCache(10) { program, tokens, kind -> changes += "$kind $program $tokens" }
                cache.store("a", "x".repeat(16))
                cache.store("b", "x".repeat(16))
                cache.lookup("a", "x".repeat(8)) shouldBe 2
                cache.store("c", "x".repeat(16))
                cache.tokensByProgram() shouldBe mapOf("a" to 4L, "c" to 4L)
                cache.heldTokens() shouldBe 8
                changes.takeLast(2) shouldContainExactly listOf("EVICTED b 4", "STORED c 4")
            }

            it("rejects an entry that is larger than its capacity") {
                val cache = PrefixCache(10) { _, _, _ -> }
                cache.store("a", "x".repeat(44)) shouldBe false
                cache.tokensByProgram() shouldBe emptyMap()
            }
        }

        describe("cache events, with seed $SEED") {
            it("are delayed, and the same events are lost for the same seed") {
                val clock = manualClock()

                fun feed() = CacheEventFeed(clock, 100.milliseconds, lossRatio = 0.3, seed = SEED)
                val feeds = listOf(feed(), feed())
                feeds.forEach { feed -> repeat(50) { feed.add("p$it", 1, CacheEventKind.STORED) } }
                feeds.first().published(0) shouldBe emptyList()
                clock.advance(100.milliseconds)
                val seen = feeds.first().published(0).map { it.sequence }
                seen shouldBe feeds.last().published(0).map { it.sequence }
                (seen.size in 25..45) shouldBe true
                feeds.first().all().size shouldBe 50
                feeds.first().published(seen.last()) shouldBe emptyList()
            }
        }

        describe("orders") {
            it("with a stale fencing token are executed by an engine that does not verify them") {
                val orders = OrderExecutor(verifiesOrders = false, models = setOf("m1"))
                orders.execute(Order(7, OrderKind.LOAD_MODEL, "m2")).isRight() shouldBe true
                orders.execute(Order(6, OrderKind.LOAD_MODEL, "m3")).isRight() shouldBe true
                listOf("m1", "m2", "m3", "m4").map(orders::serves) shouldContainExactly listOf(true, true, true, false)
            }
        }
    })
