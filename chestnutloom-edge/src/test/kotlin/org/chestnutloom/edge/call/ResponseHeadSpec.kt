package org.chestnutloom.edge.call

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.netty.handler.codec.http.DefaultHttpHeaders

private fun headOf(vararg contentTypes: String): ResponseHead {
    val headers = DefaultHttpHeaders().add("Content-Type", contentTypes.toList())
    return ResponseHead(
        status = 200,
        headers = headers,
        isNotRun = false,
        isSigned = true,
        impliesNotRun = false,
        isTargetLeaving = false,
    )
}

class ResponseHeadSpec :
    DescribeSpec({
        describe("the head of a response") {
            // Guards against a half stream that is not judged by its events because its type is written in another way.
            listOf("text/event-stream", "Text/Event-Stream;charset=utf-8", "text/event-stream ; charset=utf-8")
                .forEach { type ->
                    it("with type \"$type\" is that of an event stream") {
                        headOf(type).isEventStream shouldBe true
                    }
                }

            // Guards against a whole response that is broken off because its bytes are taken for those of a stream.
            listOf("text/plain", "text/event-stream-list", "application/json; of=text/event-stream").forEach { type ->
                it("with type \"$type\" is not that of an event stream") {
                    headOf(type).isEventStream shouldBe false
                }
            }

            it("without a type, or with an empty one, leaves that open") {
                headOf().isEventStream shouldBe null
                headOf("").isEventStream shouldBe null
                headOf("; charset=utf-8").isEventStream shouldBe null
            }
        }
    })
