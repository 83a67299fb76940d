package org.chestnutloom.edge.turn

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private fun parserOf(vararg chunks: String): EventStreamParser {
    val parser = EventStreamParser(collectsData = true)
    chunks.forEach { parser.read(it.encodeToByteArray()) }
    return parser
}

class EventStreamParserSpec :
    DescribeSpec({
        describe("a parser of event streams") {
            it("counts events and collects their data with a line feed after each") {
                val parser = parserOf("id: 1\ndata: cane\n\nid: 2\ndata: rattan\n\n")
                parser.eventCount shouldBe 2
                parser.output().decodeToString() shouldBe "cane\nrattan\n"
            }

            it("accepts input that is split at any byte") {
                val stream = "id: 1\r\ndata: cane\r\n\r\nid: 2\r\ndata:rattan\r\n\r\n"
                (1 until stream.length).forEach { cut ->
                    val parser = parserOf(stream.take(cut), stream.drop(cut))
                    parser.eventCount shouldBe 2
                    parser.output().decodeToString() shouldBe "cane\nrattan\n"
                }
            }

            it("does not count a partial event") {
                parserOf("id: 1\ndata: cane\n\nid: 2\ndata: rat").eventCount shouldBe 1
            }

            // Guards against a stream that was cut off inside an event and looked complete.
            it("is inside an event from its first byte to the end of its empty line") {
                val event = "id: 1\ndata: cane\n\n"
                event.indices.forEach { length -> parserOf(event.take(length)).isInsideEvent shouldBe (length > 0) }
                parserOf(event).isInsideEvent shouldBe false
                parserOf(event, "version: 3\n").isInsideEvent shouldBe true
            }

            it("is not inside an event after a comment") {
                parserOf("data: cane\n\n: a comment\n").isInsideEvent shouldBe false
            }

            // Guards against a stream whose last line feed is missing and that looked complete.
            it("is inside an event until the line feed that its other lines end with") {
                parserOf("data: cane\r\n\r").isInsideEvent shouldBe true
                parserOf("data: cane\r\n\r", "\n").isInsideEvent shouldBe false
                parserOf("data: cane\r\r").isInsideEvent shouldBe false
            }

            // Guards against a stream that begins with a byte order mark, whose first event was not counted or stored.
            it("skips a byte order mark at its start") {
                parserOf("\uFEFFdata: cane\n\n").output().decodeToString() shouldBe "cane\n"
                parserOf("\uFEFF: a comment\n").isInsideEvent shouldBe false
            }

            it("joins data of several lines and ignores other fields") {
                val parser = parserOf("event: x\nversion: 3\ndata: a\ndata: b\n\n: a comment\n\n")
                parser.eventCount shouldBe 1
                parser.output().decodeToString() shouldBe "a\nb\n"
            }
        }
    })
