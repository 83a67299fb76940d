package org.chestnutloom.fakes.launch

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class EventLineSpec :
    DescribeSpec({
        describe("a line of key=value pairs") {
            it("is parsed without a stack overflow if a quoted value is very long") {
                val line = EventLine.parse("event=warned cause=\"${"\\\"x".repeat(100_000)}\"")
                line.event shouldBe "warned"
            }
        }
    })
