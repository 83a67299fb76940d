package org.chestnutloom.edge.turn

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private fun parserOf(vararg chunks: String): EventStreamParser {
    val parser = EventStreamParser(collectsData = true)
    chunks.forEach { parser.read(it.encodeToByteArray()) }
    return parser
}

private const val SEED = 20261206
private const val STREAMS = 500

/** Lines and parts of lines that a stream may have, well-formed or not. */
private val TOKENS =
    listOf("data: cane", "data:", "data", "datum: x", "id: 1", "retry", ": comment", ":", "data: \u00E9", " data: x")

private val LINE_ENDS = listOf("\n", "\r\n", "\r")

private fun randomStream(random: Random): String {
    val usualEnd = LINE_ENDS.random(random)
    val start = if (random.nextInt(4) == 0) ReferenceEventStream.BYTE_ORDER_MARK else ""
    val lines =
        (1..random.nextInt(2, 9)).map {
            val end = if (random.nextInt(8) == 0) LINE_ENDS.random(random) else usualEnd
            if (random.nextInt(3) == 0) end else TOKENS.random(random) + end
        }
    return start + lines.joinToString("")
}

private fun latin1(text: String): ByteArray = text.toByteArray(Charsets.ISO_8859_1)

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

            // Guards against an event that was not counted or stored because its data has no colon.
            it("takes data without a colon for empty data") {
                val parser = parserOf("data\n\n")
                parser.eventCount shouldBe 1
                parser.output().decodeToString() shouldBe "\n"
            }

            // Guards against a whole stream that is broken off because of its size though none of it is kept.
            it("reads an event of any size if it does not collect data") {
                val line = ByteArray(2 * 1024 * 1024) { 'x'.code.toByte() }
                val parser = EventStreamParser(collectsData = false)
                listOf(latin1("data: "), line, latin1("\n\n")).forEach(parser::read)
                parser.isTooLarge shouldBe false
                parser.isInsideEvent shouldBe false
                parser.eventCount shouldBe 1
            }

            // Guards against ends of a stream that are taken for the middle of an event, and the other way around.
            it("agrees with a reference at each byte of random streams, in any split") {
                val random = Random(SEED)
                repeat(STREAMS) {
                    val stream = randomStream(random)
                    (0..stream.length).forEach { length ->
                        val split = random.nextInt(length + 1)
                        val start = stream.take(length)
                        val expected = ReferenceEventStream(start)
                        for (collectsData in listOf(true, false)) {
                            val parser = EventStreamParser(collectsData)
                            parser.read(latin1(start.take(split)))
                            parser.read(latin1(start.drop(split)))
                            withClue("seed $SEED, stream ${latin1(start).toList()}") {
                                parser.isInsideEvent shouldBe expected.isInsideEvent
                                if (collectsData) parser.output() shouldBe latin1(expected.output)
                            }
                        }
                    }
                }
            }

            it("joins data of several lines and ignores other fields") {
                val parser = parserOf("event: x\nversion: 3\ndata: a\ndata: b\n\n: a comment\n\n")
                parser.eventCount shouldBe 1
                parser.output().decodeToString() shouldBe "a\nb\n"
            }
        }
    })
