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
        describe("the reference token bucket") {
            it("accepts only requests within the rate and burst, and refunds refused ones") {
                val bucket = ReferenceTokenBucket(ratePerSecond = 2.0, burst = 2)
                List(3) { bucket.charge(1.seconds) } shouldBe listOf(true, true, false)
                bucket.refund()
                bucket.charge(1.seconds + 499.milliseconds) shouldBe false
                bucket.refund()
                bucket.charge(1.seconds + 500.milliseconds) shouldBe true
            }
        }

        describe("fair shares") {
            it("divide what small demands leave unused among the others by weight") {
                val demands = mapOf("small" to 10.0, "a" to 100.0, "b" to 100.0)
                val weights = mapOf("small" to 1, "a" to 2, "b" to 1)
                fairShares(demands, weights, capacity = 100.0) shouldBe mapOf("small" to 10.0, "a" to 60.0, "b" to 30.0)
            }

            it("never exceed the demand") {
                fairShares(mapOf("a" to 5.0), mapOf("a" to 1), capacity = 100.0) shouldBe mapOf("a" to 5.0)
            }
        }

        describe("wasted cache") {
            it("counts prompt tokens cached on another engine, except those cached on this one too") {
                val cachingEngine =
                    EngineHistory(listOf(run("p", 40, 40, 100)), listOf(stored("p", 50, 10), evicted("p", 300)))
                val otherEngine = EngineHistory(listOf(run("p", 60, 20, 200), run("p", 60, 0, 400)), emptyList())
                val waste = CacheAccounting(listOf(cachingEngine, otherEngine), emptyMap(), 1_000).waste()
                waste.prefilledThoughCachedTokens shouldBe 30
                waste.prefilledTokens shouldBe 100
                waste.cachedTokens shouldBe 60
            }

            it("counts tokens cached for a program after its end") {
                val events = listOf(stored("p", 10, 0), stored("p", 20, 2_000), evicted("p", 4_000), stored("q", 7, 0))
                val endTimesMs = mapOf("p" to 1_000L, "q" to 500L)
                val waste = CacheAccounting(listOf(EngineHistory(emptyList(), events)), endTimesMs, 5_000).waste()
                waste.goneTokenSeconds shouldBe 10.0 + 2 * 20.0 + 4.5 * 7
                waste.goneTokensAtEnd shouldBe 7
            }
        }

        describe("responses") {
            it("are parsed when complete, streamed or refused") {
                ResponseParser.parseJson("""{"body":{"choices":[{"message":{"content":"hi"}}]}}""") shouldBe
                    LoadResponse.Complete("hi")
                ResponseParser.parseStream(
                    "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n" +
                        "data: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\ndata: [DONE]\n\n",
                ) shouldBe LoadResponse.Complete("ab")
                val refusal = """{"error":{"code":"rate_limited","execution":"not_run","retry_after_ms":40}}"""
                ResponseParser.parseJson(refusal) shouldBe LoadResponse.Refused("rate_limited", "not_run", 40)
                ResponseParser.parseStream("event: error\ndata: $refusal\n\n") shouldBe
                    LoadResponse.Refused("rate_limited", "not_run", 40)
            }

            it("that are truncated or malformed count as failed") {
                ResponseParser.parseStream("data: {\"choices\":[]}\n\n") shouldBe
                    LoadResponse.Failed("the stream ended without [DONE]")
                ResponseParser.parseJson("oops") shouldBe LoadResponse.Failed("malformed response: oops")
            }
        }

        describe("latencies") {
            it("are summarized by percentiles") {
                val summary = LatencySummary.of((1..100).map { it.milliseconds })
                listOf(summary.p50Ms, summary.p95Ms, summary.p99Ms, summary.maxMs) shouldBe listOf(50L, 95L, 99L, 100L)
            }
        }
    })
