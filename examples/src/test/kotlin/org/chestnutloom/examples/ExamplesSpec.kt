package org.chestnutloom.examples

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class ExamplesSpec :
    DescribeSpec({
        describe("the recipes") {
            it("share a burst between two processes without admitting more than it") {
                shareRateRights() shouldBe (6 to 4)
            }

            it("keep a replaced process from writing") {
                replacePausedHolder() shouldBe "shipped by run-2"
            }

            it("make a payment once although its reply was lost") {
                payOnce() shouldBe 1
            }
        }
    })
