package org.chestnutloom.integration.edge

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import java.nio.file.Files
import java.nio.file.Path

// Guards against a class archive that a rename has made useless, so that each start of a gateway loads classes one by one.
class EdgeClassListSpec :
    DescribeSpec({
        describe("the class list of the edge gateway's archive") {
            val listed =
                Files
                    .readAllLines(Path.of("..", "deploy", "edge-classes.lst"))
                    .filter { it.startsWith("org/chestnutloom/") && "\$\$Lambda" !in it }
                    .map { it.substringBefore(' ') }

            it("names only classes that exist; bin/benchmark edge-classes records it anew") {
                listed.shouldNotBeEmpty()
                listed.filter { javaClass.classLoader.getResource("$it.class") == null }.shouldBeEmpty()
            }
        }
    })
