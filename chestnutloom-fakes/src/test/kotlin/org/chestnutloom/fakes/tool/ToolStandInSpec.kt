package org.chestnutloom.fakes.tool

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import org.chestnutloom.fakes.http.standInJson
import org.chestnutloom.fakes.record.RequestRecord
import org.chestnutloom.fakes.record.RequestRecords
import org.chestnutloom.fakes.use
import java.io.IOException
import java.nio.file.Files
import kotlin.io.path.readLines

class ToolStandInSpec :
    DescribeSpec({
        describe("a tool service") {
            it("numbers its effects and logs each request with all headers") {
                toolStandIn().use { tool ->
                    val headers = mapOf("X-Request-Id" to "r1", "X-Other" to "seen")
                    tool.send("/pay?to=x", """{"amount":1}""", headers = headers).body shouldBe
                        """{"request_id":"r1","effect":1,"method":"POST","path":"/pay?to=x","body_bytes":12}"""
                    val record = tool.read<RequestRecords>("/admin/log").requests.single()
                    record.requestId shouldBe "r1"
                    record.headers["X-Other"] shouldBe listOf("seen")
                    record.body shouldBe """{"amount":1}"""
                    record.finished shouldBe true
                }
            }

            it("fails without an effect if the request asks for it") {
                toolStandIn().use { tool ->
                    tool.send("/pay", """{"fail_status":500}""").status shouldBe 500
                    tool.send("/pay", "{}").body shouldBe
                        """{"request_id":null,"effect":1,"method":"POST","path":"/pay","body_bytes":2}"""
                }
            }

            it("runs a request once if its reply is lost") {
                toolStandIn().use { tool ->
                    tool.setFault("""{"mode":"lose_replies","count":1}""")
                    shouldThrow<IOException> { tool.send("/pay", "{}") }
                    tool.read<RequestRecords>("/admin/log").requests.map { it.finished } shouldContainExactly
                        listOf(true)
                }
            }

            it("writes its log to a file that survives a crash") {
                val file = Files.createTempFile("tool", ".log")
                val crashes = mutableListOf<String>()
                val settings = ToolSettings(logFile = file, crash = { crashes += "crash" })
                toolStandIn(settings).use { it.send("/pay", """{"crash":true}""") }
                crashes shouldContainExactly listOf("crash")
                val lines = file.readLines().map { standInJson.decodeFromString<RequestRecord>(it) }
                lines.first().path shouldBe "/pay"
                Files.delete(file)
            }
        }
    })
