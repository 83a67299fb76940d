package org.chestnutloom.fakes.engine

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import kotlinx.serialization.json.JsonPrimitive
import kotlin.time.Duration.Companion.milliseconds

private val settings =
    EngineSettings(prefillTokensPerSecond = 1_000.0, decodeStep = 10.milliseconds, maxBatch = 2)

private fun run(
    id: String,
    promptTokens: Int = 1,
    completionTokens: Int = 10,
    program: String? = null,
): EngineRun {
    val text = "x".repeat((promptTokens * 4 - "user:\n".length).coerceAtLeast(0))
    val request = ChatRequest("m", listOf(ChatMessage("user", JsonPrimitive(text))), maxTokens = completionTokens)
    return EngineRun(id, program, request, 1, 1)
}

private class BatchFixture {
    val events = mutableListOf<String>()
    val cache = PrefixCache(1_000) { _, _, _ -> }
    val batch =
        Batch(
            settings,
            cache,
            object : BatchListener {
                override fun started(run: EngineRun) {
                    events += "start ${run.requestId}"
                }

                override fun ended(
                    run: EngineRun,
                    tokens: Int,
                    outcome: RunOutcome,
                ) {
                    events += "$outcome ${run.requestId} $tokens"
                }
            },
        )

    fun submit(vararg runs: EngineRun) {
        runs.forEach(batch::submit)
    }
}

class BatchSpec :
    DescribeSpec({
        describe("a batch") {
            it("prefills a prompt at the configured rate and then decodes one token per step") {
                val run = run("a", promptTokens = 100)
                val fixture = BatchFixture().apply { submit(run) }
                fixture.batch.advance(99.milliseconds)
                run.isPrefilled shouldBe false
                fixture.batch.advance(1.milliseconds)
                run.isPrefilled shouldBe true
                run.progress.value.tokens shouldBe 0
                fixture.batch.advance(30.milliseconds)
                run.progress.value.tokens shouldBe 3
            }

            it("decodes requests concurrently and admits the next one when one has ended") {
                val fixture = BatchFixture().apply { submit(run("a", 2, 5), run("b", 2, 9), run("c", 2)) }
                fixture.batch.waitingCount shouldBe 1
                fixture.batch.advance(4.milliseconds)
                fixture.batch.advance(50.milliseconds)
                fixture.events shouldContainExactly listOf("start a", "start b", "COMPLETE a 5", "start c")
            }

            it("splits its time between prefill and decoding") {
                val decoding = run("a", 2)
                val fixture = BatchFixture().apply { submit(decoding) }
                fixture.batch.advance(2.milliseconds)
                val prefilling = run("b", promptTokens = 100)
                fixture.submit(prefilling)
                fixture.batch.advance(40.milliseconds)
                decoding.progress.value.tokens shouldBe 2
                prefilling.prefilledTokens shouldBe 20.0
            }

            it("prefills only tokens that are not cached, and caches the prefilled part of a cancelled request") {
                val first = run("a", promptTokens = 100, program = "p")
                val fixture = BatchFixture().apply { submit(first) }
                fixture.batch.advance(50.milliseconds)
                fixture.batch.cancel(first)
                fixture.cache.tokensByProgram() shouldBe mapOf("p" to 50L)
                val second = run("b", promptTokens = 100, program = "p")
                fixture.submit(second)
                second.cachedTokens shouldBe 50
                fixture.events shouldContainExactly listOf("start a", "CANCELLED a 0", "start b")
            }
        }
    })
