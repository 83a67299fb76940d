package org.chestnutloom.cli

import arrow.core.Either
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import org.chestnutloom.config.AccessKey
import org.chestnutloom.config.ConfigRecord
import org.chestnutloom.config.KeyRecord
import org.chestnutloom.config.digest
import org.chestnutloom.id.KeyId
import org.chestnutloom.time.manualClock
import java.nio.file.Files
import java.nio.file.Path

private const val FIRST = "accounts { ward { rate_per_second = 5, burst = 10 } }\n"
private const val SECOND = "accounts { ward { rate_per_second = 6, burst = 10 } }\n"
private const val THIRD = "accounts { ward { rate_per_second = 7, burst = 10 } }\n"

private class Operator(
    val table: MemoryTable = MemoryTable(),
) {
    private val parser = InvocationParser(manualClock()) { _, _ -> table }

    suspend fun run(vararg words: String): Either<CommandFailure, CommandResult> {
        val common = listOf("--table-url", "http://127.0.0.1:1", "--wait-seconds", "0", "--author", "ada")
        val invocation = parser.parse(words.asList() + common, emptyMap()).getOrNull().shouldNotBeNull()
        return invocation.command.run(invocation.call)
    }

    suspend fun apply(
        document: String,
        vararg words: String,
    ): Either<CommandFailure, CommandResult> = withFile(document) { run("apply", it.toString(), *words) }

    fun record(
        version: Long,
        environment: String = "production",
    ): ConfigRecord {
        val row = table.rows.getValue(ConfigRecord.rowKey(environment, version))
        return kotlinx.serialization.json.Json
            .decodeFromString(ConfigRecord.serializer(), row.value)
    }

    fun lease(
        id: String,
        state: String,
        configVersion: Long,
    ) {
        table.put(
            "gateway/production/$id",
            """{"id":"$id","incarnation":"i","host":"h","port":1,"failureDomain":"d","state":"$state","configVersion":$configVersion}""",
        )
    }
}

private inline fun <T> withFile(
    text: String,
    use: (Path) -> T,
): T {
    val file = Files.createTempFile("document", ".conf")
    try {
        Files.writeString(file, text)
        return use(file)
    } finally {
        Files.delete(file)
    }
}

private fun Either<CommandFailure, CommandResult>.version(): Long? =
    getOrNull()?.let { (it.json as JsonObject).getValue("version").jsonPrimitive.long }

class CommandSpec :
    DescribeSpec({
        describe("applying a document") {
            it("makes it the next version, and the same document again changes nothing") {
                val operator = Operator()
                operator.apply(FIRST).version() shouldBe 1
                operator.apply(FIRST).version() shouldBe 1
                operator.apply(SECOND).version() shouldBe 2
                operator.record(2).document shouldBe SECOND
            }

            it("fails with who changed what when another operator is first") {
                val operator = Operator()
                operator.apply(FIRST)
                operator.table.beforeWrite = { operator.apply(SECOND) }
                val failure = operator.apply(THIRD).leftOrNull().shouldBeInstanceOf<CommandFailure.Conflict>()
                failure.exitCode shouldBe ExitCode.CONFLICT
                failure.toString() shouldContain "version 2 by ada"
                failure.toString() shouldContain "accounts.ward.rate_per_second"
                operator.record(2).document shouldBe SECOND
            }

            it("fails when it builds on an older version") {
                val operator = Operator()
                operator.apply(FIRST)
                operator.apply(SECOND)
                val failure = operator.apply(THIRD, "--base-version", "1").leftOrNull()
                failure.shouldBeInstanceOf<CommandFailure.Conflict>()
            }

            it("is not disturbed by a key that is created meanwhile") {
                val operator = Operator()
                operator.apply(FIRST)
                operator.table.beforeWrite = { operator.run("key", "create", "--account", "ward") }
                operator.apply(SECOND).version() shouldBe 2
            }

            it("is settled by reading back when the reply is lost") {
                val operator = Operator()
                operator.table.isReplyLost = true
                operator.apply(FIRST).version() shouldBe 1
                operator.table.rows.size shouldBe 2
            }

            it("fails without a change when the store is down or the document faulty") {
                val operator = Operator()
                operator.apply("accounts { ward { burst = 1 } }").leftOrNull()?.exitCode shouldBe ExitCode.FAILED
                operator.table.isDown = true
                operator.apply(FIRST).leftOrNull()?.exitCode shouldBe ExitCode.STORE
                operator.table.rows.size shouldBe 0
            }

            it("names the live gateways that do not have it in force yet") {
                val operator = Operator()
                operator.lease("g1", "ACTIVE", 1)
                operator.lease("g2", "ACTIVE", 0)
                operator.lease("g3", "FENCED", 0)
                val result = operator.apply(FIRST).getOrNull().shouldNotBeNull()
                result.exitCode shouldBe ExitCode.OUTSTANDING
                result.lines.last() shouldBe "accepted, but not yet in force at g2"
            }
        }

        describe("promoting") {
            it("moves the bytes that were tried") {
                val operator = Operator()
                operator.apply(FIRST, "--environment", "trial")
                operator.run("promote").version() shouldBe 1
                operator.record(1).document shouldBe FIRST
                operator.record(1).digest shouldBe digest(FIRST)
                operator.record(1).promotedFrom shouldBe "trial"
            }
        }

        describe("keys") {
            it("show their secret once, are stored as a salted hash, and can be withdrawn") {
                val operator = Operator()
                operator.apply(FIRST)
                val result = operator.run("key", "create", "--account", "ward").getOrNull().shouldNotBeNull()
                val json = result.json as JsonObject
                val bearer = json.getValue("key").jsonPrimitive.content
                val id = KeyId(json.getValue("id").jsonPrimitive.content)
                val row = operator.table.rows.getValue(KeyRecord.rowKey("production", id))
                val record =
                    kotlinx.serialization.json.Json
                        .decodeFromString(KeyRecord.serializer(), row.value)
                AccessKey.parse(bearer).shouldNotBeNull().matches(record) shouldBe true
                operator.table.rows.values
                    .forEach { it.value shouldNotContain bearer.substringAfterLast('_') }
                operator.run("key", "withdraw", id.value).isRight() shouldBe true
                operator
                    .run("key", "list")
                    .getOrNull()
                    .shouldNotBeNull()
                    .lines
                    .single() shouldContain "withdrawn"
            }

            it("need a client account that the document has") {
                val operator = Operator()
                operator.apply(FIRST)
                val failure = operator.run("key", "create", "--account", "nobody").leftOrNull()
                failure shouldBe CommandFailure.NotFound("client account nobody")
            }
        }

        describe("draining") {
            it("writes a row that undoing removes") {
                val operator = Operator()
                operator.apply("targets { pay-1 { kind = tool, max_running = 1 } }")
                operator.run("drain", "pay-1").isRight() shouldBe true
                operator.table.rows.containsKey("drain/production/pay-1") shouldBe true
                operator.run("drain", "pay-1", "--undo").isRight() shouldBe true
                operator.table.rows.containsKey("drain/production/pay-1") shouldBe false
                operator.run("drain", "pay-9").leftOrNull().shouldBeInstanceOf<CommandFailure.NotFound>()
            }
        }
    })
