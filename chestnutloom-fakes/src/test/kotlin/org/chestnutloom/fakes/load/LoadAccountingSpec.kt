package org.chestnutloom.fakes.load

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.chestnutloom.fakes.engine.CacheEvent
import org.chestnutloom.fakes.engine.CacheEventKind
import org.chestnutloom.fakes.record.RequestRecord
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private fun stored(
    program: String,
    tokens: Long,
    atMs: Long,
): CacheEvent = CacheEvent(1, program, tokens, CacheEventKind.STORED, atMs)

private fun evicted(
    program: String,
    atMs: Long,
): CacheEvent = CacheEvent(1, program, 1, CacheEventKind.EVICTED, atMs)

private fun run(
    program: String,
    promptTokens: Long,
    cachedTokens: Long,
    startedAtMs: Long,
): RequestRecord =
    RequestRecord(
        number = 1,
        receivedAtMs = startedAtMs,
        requestId = "r",
        programId = program,
        method = "POST",
        path = "/v1/chat/completions",
        headers = emptyMap(),
        body = "",
        bodyBytes = 0,
        startedAtMs = startedAtMs,
        promptTokens = promptTokens,
        cachedTokens = cachedTokens,
    )

class LoadAccountingSpec :
    DescribeSpec({
        describe("the reference bucket") {
            it("tells requests inside the rate and burst from others, and takes refused ones back") {
                val bucket = ReferenceBucket(ratePerSecond = 2.0, burst = 2)
                List(3) { bucket.send(1.seconds) } shouldBe listOf(true, true, false)
                bucket.giveBack()
                bucket.send(1.seconds + 499.milliseconds) shouldBe false
                bucket.giveBack()
                bucket.send(1.seconds + 500.milliseconds) shouldBe true
            }
        }

        describe("fair shares") {
            it("give what small demands leave to the others by weight") {
                val demands = mapOf("small" to 10.0, "a" to 100.0, "b" to 100.0)
                val weights = mapOf("small" to 1, "a" to 2, "b" to 1)
                fairShares(demands, weights, capacity = 100.0) shouldBe mapOf("small" to 10.0, "a" to 60.0, "b" to 30.0)
            }

            it("never exceed the demand") {
                fairShares(mapOf("a" to 5.0), mapOf("a" to 1), capacity = 100.0) shouldBe mapOf("a" to 5.0)
            }
        }

        describe("wasted cache") {
            it("counts what another engine held, and not what this one did") {
                val holder =
                    EngineHistory(listOf(run("p", 40, 40, 100)), listOf(stored("p", 50, 10), evicted("p", 300)))
                val other = EngineHistory(listOf(run("p", 60, 20, 200), run("p", 60, 0, 400)), emptyList())
                val waste = CacheAccounting(listOf(holder, other), emptyMap(), 1_000).waste()
                waste.prefilledThoughCachedTokens shouldBe 30
                waste.prefilledTokens shouldBe 100
                waste.cachedTokens shouldBe 60
            }

            it("counts tokens held for programs from when they were gone") {
                val events = listOf(stored("p", 10, 0), stored("p", 20, 2_000), evicted("p", 4_000), stored("q", 7, 0))
                val gone = mapOf("p" to 1_000L, "q" to 500L)
                val waste = CacheAccounting(listOf(EngineHistory(emptyList(), events)), gone, 5_000).waste()
                waste.goneTokenSeconds shouldBe 10.0 + 2 * 20.0 + 4.5 * 7
                waste.goneTokensAtEnd shouldBe 7
            }
        }

        describe("answers") {
            it("are read whole, streamed and refused") {
                AnswerParser.parseWhole("""{"body":{"choices":[{"message":{"content":"hi"}}]}}""") shouldBe
                    LoadAnswer.Whole("hi")
                AnswerParser.parseStream(
                    "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n" +
                        "data: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\ndata: [DONE]\n\n",
                ) shouldBe LoadAnswer.Whole("ab")
                val refusal = """{"error":{"code":"rate_limited","execution":"not_run","retry_after_ms":40}}"""
                AnswerParser.parseWhole(refusal) shouldBe LoadAnswer.Refused("rate_limited", "not_run", 40)
                AnswerParser.parseStream("event: error\ndata: $refusal\n\n") shouldBe
                    LoadAnswer.Refused("rate_limited", "not_run", 40)
            }

            it("that are cut or no answers are broken") {
                AnswerParser.parseStream("data: {\"choices\":[]}\n\n") shouldBe
                    LoadAnswer.Broken("the stream has no end")
                AnswerParser.parseWhole("oops") shouldBe LoadAnswer.Broken("not an answer: oops")
            }
        }

        describe("latencies") {
            it("are summed up") {
                val summary = LatencySummary.of((1..100).map { it.milliseconds })
                listOf(summary.p50Ms, summary.p95Ms, summary.p99Ms, summary.maxMs) shouldBe listOf(50L, 95L, 99L, 100L)
            }
        }
    })
