package org.chestnutloom.fakes.engine

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import kotlinx.coroutines.launch
import org.chestnutloom.fakes.StandIn
import org.chestnutloom.fakes.StandInClient
import org.chestnutloom.fakes.http.standInJson
import org.chestnutloom.fakes.platform.objectStandIn
import org.chestnutloom.fakes.record.RequestRecords
import org.chestnutloom.fakes.use
import java.io.IOException
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val MODEL = "m"
private const val COMPLETIONS = "/v1/chat/completions"

private fun engine(
    crash: () -> Unit = {},
    objectUrl: String? = null,
): StandIn =
    engineStandIn(
        EngineSettings(decodeStep = 1.milliseconds, eventDelay = 0.milliseconds, objectUrl = objectUrl, crash = crash),
    )

private fun chat(
    message: String,
    tokens: Int = 4,
    stream: Boolean = false,
): String =
    """{"model":"$MODEL","stream":$stream,"max_tokens":$tokens,"messages":[{"role":"user","content":"$message"}]}"""

private fun idHeaders(
    request: String,
    program: String = "p1",
): Map<String, String> = mapOf("X-Request-Id" to request, "X-Program-Id" to program)

private fun streamedText(body: String): String =
    body
        .lineSequence()
        .filter { it.startsWith("data: {") }
        .joinToString("") { standInJson.decodeFromString<Completion>(it.removePrefix("data: ")).text }

private suspend fun StandInClient.log(): RequestRecords = read("/admin/log")

class EngineStandInSpec :
    DescribeSpec({
        val expected = GeneratedText.full(MODEL, "hello", 4)

        describe("completions") {
            it("return the text for the request, complete or streamed") {
                engine().use { engine ->
                    val complete = engine.send(COMPLETIONS, chat("hello")).body
                    standInJson.decodeFromString<Completion>(complete).text shouldBe expected
                    val streamed = engine.send(COMPLETIONS, chat("hello", stream = true)).body
                    streamedText(streamed) shouldBe expected
                    streamed.trim() shouldEndWith "data: [DONE]"
                }
            }

            it("reject an invalid request") {
                engine().use { engine ->
                    engine.send(COMPLETIONS, "{").status shouldBe 400
                    engine.send(COMPLETIONS, """{"model":"m","messages":[]}""").status shouldBe 400
                }
            }

            it("crash the engine when the request starts to run") {
                val crashes = mutableListOf<String>()
                engine(crash = { crashes += "crash" }).use { it.send(COMPLETIONS, chat("CRASH-ENGINE")) }
                crashes shouldContainExactly listOf("crash")
            }
        }

        describe("a stream") {
            it("is cut after some chunks and can be resumed by request id") {
                engine().use { engine ->
                    engine.setFault("""{"mode":"cut_stream","afterChunks":2,"count":1}""")
                    shouldThrow<IOException> {
                        engine.send(
                            COMPLETIONS,
                            chat("hello", stream = true),
                            headers = idHeaders("r1"),
                        )
                    }
                    val rest = engine.send("/v1/requests/r1/stream?from=2").body
                    streamedText(rest) shouldBe GeneratedText.range(MODEL, "hello", 2, 4)
                    engine.send("/v1/requests/r2/stream?from=0").status shouldBe 404
                }
            }

            it("is aborted when the request is cancelled") {
                engine().use { engine ->
                    val caller =
                        launch {
                            shouldThrow<IOException> {
                                engine.send(COMPLETIONS, chat("hello", 1_000_000, true), headers = idHeaders("r1"))
                            }
                        }
                    eventually(30.seconds) { engine.log().requests.any { it.startedAtMs != null } shouldBe true }
                    engine.send("/v1/requests/r1/cancel", "").status shouldBe 204
                    caller.join()
                    engine
                        .log()
                        .requests
                        .first()
                        .cancelled shouldBe true
                }
            }
        }

        describe("the prefix cache") {
            it("holds the prefix for the next turn of a program until it is released") {
                engine().use { engine ->
                    engine.send(COMPLETIONS, chat("hello"), headers = idHeaders("r1"))
                    engine.send(COMPLETIONS, chat("hello"), headers = idHeaders("r2")).body shouldContain
                        """"cached_tokens":2"""
                    engine.read<HeldCache>("/v1/cache").programs.keys shouldBe setOf("p1")
                    engine.send("/v1/cache/release", """{"program":"p1"}""").status shouldBe 204
                    engine.read<HeldCache>("/v1/cache").programs shouldBe emptyMap()
                }
            }

            it("is exported to and imported from the object store") {
                objectStandIn().let { objects ->
                    objects.start()
                    engine(objectUrl = "http://127.0.0.1:${objects.port}").use { engine ->
                        engine.send(COMPLETIONS, chat("hello"), headers = idHeaders("r1"))
                        val cachedTokens = engine.read<HeldCache>("/v1/cache").programs.getValue("p1")
                        val move = """{"program":"p1","object":"kv/p1"}"""
                        engine.send("/v1/cache/export", move).body shouldBe """{"tokens":$cachedTokens}"""
                        engine.send("/v1/cache/release", move)
                        engine.send("/v1/cache/import", move).body shouldBe """{"tokens":$cachedTokens}"""
                        engine.send("/v1/cache/import", """{"program":"p1","object":"none"}""").status shouldBe 404
                    }
                    objects.stop()
                }
            }
        }

        describe("orders") {
            it("with a stale fencing token are refused") {
                engine().use { engine ->
                    engine.send("/v1/orders", """{"fencing":7,"kind":"set_role","argument":"x"}""").status shouldBe 200
                    val stale = engine.send("/v1/orders", """{"fencing":6,"kind":"set_role","argument":"y"}""")
                    stale.status shouldBe 409
                    stale.body shouldBe """{"fencing":7}"""
                }
            }
        }
    })
