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
    answerTokens: Int = 10,
    program: String? = null,
): EngineRun {
    val text = "x".repeat((promptTokens * 4 - "user:\n".length).coerceAtLeast(0))
    val request = ChatRequest("m", listOf(ChatMessage("user", JsonPrimitive(text))), maxTokens = answerTokens)
    return EngineRun(id, program, request, 1, 1)
}

private class Rig {
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
                    end: RunEnd,
                ) {
                    events += "$end ${run.requestId} $tokens"
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
            it("prefills a prompt at its rate before it decodes one token a step") {
                val run = run("a", promptTokens = 100)
                val rig = Rig().apply { submit(run) }
                rig.batch.advance(99.milliseconds)
                run.isPrefilled shouldBe false
                rig.batch.advance(1.milliseconds)
                run.isPrefilled shouldBe true
                run.progress.value.tokens shouldBe 0
                rig.batch.advance(30.milliseconds)
                run.progress.value.tokens shouldBe 3
            }

            it("decodes its requests together and admits the next when one has ended") {
                val rig = Rig().apply { submit(run("a", 2, 5), run("b", 2, 9), run("c", 2)) }
                rig.batch.waitingCount shouldBe 1
                rig.batch.advance(4.milliseconds)
                rig.batch.advance(50.milliseconds)
                rig.events shouldContainExactly listOf("start a", "start b", "COMPLETE a 5", "start c")
            }

            it("shares its time between prefill and decoding") {
                val decoding = run("a", 2)
                val rig = Rig().apply { submit(decoding) }
                rig.batch.advance(2.milliseconds)
                val prefilling = run("b", promptTokens = 100)
                rig.submit(prefilling)
                rig.batch.advance(40.milliseconds)
                decoding.progress.value.tokens shouldBe 2
                prefilling.prefilledTokens shouldBe 20.0
            }

            it("prefills only what the cache does not hold, and keeps what a cancelled request prefilled") {
                val first = run("a", promptTokens = 100, program = "p")
                val rig = Rig().apply { submit(first) }
                rig.batch.advance(50.milliseconds)
                rig.batch.cancel(first)
                rig.cache.held() shouldBe mapOf("p" to 50L)
                val second = run("b", promptTokens = 100, program = "p")
                rig.submit(second)
                second.cachedTokens shouldBe 50
                rig.events shouldContainExactly listOf("start a", "CANCELLED a 0", "start b")
            }
        }
    })
