package org.chestnutloom.fakes.platform

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import org.chestnutloom.fakes.StandInClient
import org.chestnutloom.fakes.use
import java.io.IOException

private fun write(
    key: String,
    version: Long,
): String = """{"conditions":[{"key":"$key","version":$version}],"writes":[{"key":"$key","value":"v"}]}"""

private suspend fun StandInClient.keys(): List<String> = read<RowList>("/admin/rows").rows.map { it.key }

class TableStandInSpec :
    DescribeSpec({
        describe("a table service") {
            it("commits a transaction only if its conditions hold") {
                tableStandIn().use { table ->
                    table.send("/v1/transact", write("a", 0)).status shouldBe 200
                    val conflict = table.send("/v1/transact", write("a", 0))
                    conflict.status shouldBe 409
                    conflict.body shouldBe """{"failedKeys":["a"],"current":[{"key":"a","version":1,"value":"v"}]}"""
                }
            }

            it("scans in key order, page by page") {
                tableStandIn().use { table ->
                    listOf("p/b", "p/a", "q").forEach { table.send("/v1/transact", write(it, 0)) }
                    table.send("/v1/scan", """{"prefix":"p/","afterKey":null,"limit":1}""").body shouldBe
                        """{"rows":[{"key":"p/a","version":2,"value":"v"}],"hasMore":true}"""
                    table.send("/v1/scan", """{"prefix":"p/","afterKey":"p/a","limit":1}""").body shouldBe
                        """{"rows":[{"key":"p/b","version":1,"value":"v"}],"hasMore":false}"""
                }
            }

            it("rejects a malformed body") {
                tableStandIn().use { it.send("/v1/read", "nonsense").status shouldBe 400 }
            }
        }

        describe("a table service with an injected fault") {
            it("applies a write but does not reply") {
                tableStandIn().use { table ->
                    table.setFault("""{"mode":"lose_replies","count":1}""")
                    shouldThrow<IOException> { table.send("/v1/transact", write("a", 0)) }
                    table.keys() shouldContainExactly listOf("a")
                    table.send("/v1/transact", write("b", 0)).status shouldBe 200
                }
            }

            it("refuses matching requests, without effect") {
                tableStandIn().use { table ->
                    table.setFault("""{"mode":"down","match":"\"b\""}""")
                    table.send("/v1/transact", write("a", 0)).status shouldBe 200
                    table.send("/v1/transact", write("b", 0)).status shouldBe 503
                    table.keys() shouldContainExactly listOf("a")
                }
            }
        }
    })
