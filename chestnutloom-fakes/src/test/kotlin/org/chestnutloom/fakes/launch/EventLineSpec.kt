package org.chestnutloom.fakes.launch

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class EventLineSpec :
    DescribeSpec({
        describe("a line of key=value pairs") {
            it("is read up to a quoted value of any length") {
                val line = EventLine.parse("event=warned cause=\"${"\\\"x".repeat(100_000)}\"")
                line.event shouldBe "warned"
            }
        }
    })
