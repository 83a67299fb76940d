package org.chestnutloom.edge.turn

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private fun readerOf(vararg pieces: String): EventStreamParser {
    val reader = EventStreamParser(collectsData = true)
    pieces.forEach { reader.read(it.encodeToByteArray()) }
    return reader
}

class EventStreamParserSpec :
    DescribeSpec({
        describe("the events of a stream") {
            it("are counted, and their data is kept with a line feed after each") {
                val reader = readerOf("id: 1\ndata: cane\n\nid: 2\ndata: rattan\n\n")
                reader.events shouldBe 2
                reader.output().decodeToString() shouldBe "cane\nrattan\n"
            }

            it("may come in pieces that end anywhere") {
                val stream = "id: 1\r\ndata: cane\r\n\r\nid: 2\r\ndata:rattan\r\n\r\n"
                (1 until stream.length).forEach { cut ->
                    val reader = readerOf(stream.take(cut), stream.drop(cut))
                    reader.events shouldBe 2
                    reader.output().decodeToString() shouldBe "cane\nrattan\n"
                }
            }

            it("do not count before they are whole") {
                readerOf("id: 1\ndata: cane\n\nid: 2\ndata: rat").events shouldBe 1
            }

            it("may have data of several lines, and other fields") {
                val reader = readerOf("event: x\nversion: 3\ndata: a\ndata: b\n\n: a comment\n\n")
                reader.events shouldBe 1
                reader.output().decodeToString() shouldBe "a\nb\n"
            }
        }
    })
