package org.chestnutloom.examples

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class ExamplesSpec :
    DescribeSpec({
        describe("the examples") {
            it("share a burst between two processes without exceeding it") {
                shareRateRights() shouldBe (6 to 4)
            }

            it("prevent a replaced process from writing") {
                replacePausedHolder() shouldBe "shipped by run-2"
            }

            it("make a payment once even if its reply is lost") {
                payOnce() shouldBe 1
            }
        }
    })
