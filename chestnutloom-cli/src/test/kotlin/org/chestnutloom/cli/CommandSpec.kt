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

private class CommandRunner(
    val table: InMemoryTableStore = InMemoryTableStore(),
) {
    private val parser = InvocationParser(manualClock()) { _, _ -> table }

    suspend fun run(vararg words: String): Either<CommandFailure, CommandResult> {
        val common = listOf("--table-url", "http://127.0.0.1:1", "--wait-seconds", "0", "--author", "ada")
        val invocation = parser.parse(words.asList() + common, emptyMap()).getOrNull().shouldNotBeNull()
        return invocation.command.run(invocation.context)
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

    fun putLease(
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
            it("creates the next version, and applying the same document again changes nothing") {
                val runner = CommandRunner()
                runner.apply(FIRST).version() shouldBe 1
                runner.apply(FIRST).version() shouldBe 1
                runner.apply(SECOND).version() shouldBe 2
                runner.record(2).document shouldBe SECOND
            }

            it("reports the author and the changed settings when another operator wrote first") {
                val runner = CommandRunner()
                runner.apply(FIRST)
                runner.table.beforeWrite = { runner.apply(SECOND) }
                val failure = runner.apply(THIRD).leftOrNull().shouldBeInstanceOf<CommandFailure.Conflict>()
                failure.exitCode shouldBe ExitCode.CONFLICT
                failure.toString() shouldContain "version 2 by ada"
                failure.toString() shouldContain "accounts.ward.rate_per_second"
                runner.record(2).document shouldBe SECOND
            }

            it("fails when its base version is outdated") {
                val runner = CommandRunner()
                runner.apply(FIRST)
                runner.apply(SECOND)
                val failure = runner.apply(THIRD, "--base-version", "1").leftOrNull()
                failure.shouldBeInstanceOf<CommandFailure.Conflict>()
            }

            it("succeeds when a key is created concurrently") {
                val runner = CommandRunner()
                runner.apply(FIRST)
                runner.table.beforeWrite = { runner.run("key", "create", "--account", "ward") }
                runner.apply(SECOND).version() shouldBe 2
            }

            it("is resolved by reading back when the reply is lost") {
                val runner = CommandRunner()
                runner.table.losesNextReply = true
                runner.apply(FIRST).version() shouldBe 1
                runner.table.rows.size shouldBe 2
            }

            it("fails without a change when the store is unavailable or the document is faulty") {
                val runner = CommandRunner()
                runner.apply("accounts { ward { burst = 1 } }").leftOrNull()?.exitCode shouldBe ExitCode.FAILED
                runner.table.isUnavailable = true
                runner.apply(FIRST).leftOrNull()?.exitCode shouldBe ExitCode.STORE
                runner.table.rows.size shouldBe 0
            }

            it("lists the live gateways that have not applied it yet") {
                val runner = CommandRunner()
                runner.putLease("g1", "ACTIVE", 1)
                runner.putLease("g2", "ACTIVE", 0)
                runner.putLease("g3", "FENCED", 0)
                val result = runner.apply(FIRST).getOrNull().shouldNotBeNull()
                result.exitCode shouldBe ExitCode.OUTSTANDING
                result.lines.last() shouldBe "accepted, but not yet applied at g2"
            }
        }

        describe("promoting") {
            it("copies the tested document byte for byte") {
                val runner = CommandRunner()
                runner.apply(FIRST, "--environment", "trial")
                runner.run("promote").version() shouldBe 1
                runner.record(1).document shouldBe FIRST
                runner.record(1).digest shouldBe digest(FIRST)
                runner.record(1).promotedFrom shouldBe "trial"
            }
        }

        describe("keys") {
            it("return their secret once, are stored as a salted hash and can be withdrawn") {
                val runner = CommandRunner()
                runner.apply(FIRST)
                val result = runner.run("key", "create", "--account", "ward").getOrNull().shouldNotBeNull()
                val json = result.json as JsonObject
                val bearer = json.getValue("key").jsonPrimitive.content
                val id = KeyId(json.getValue("id").jsonPrimitive.content)
                val row = runner.table.rows.getValue(KeyRecord.rowKey("production", id))
                val record =
                    kotlinx.serialization.json.Json
                        .decodeFromString(KeyRecord.serializer(), row.value)
                AccessKey.parse(bearer).shouldNotBeNull().matches(record) shouldBe true
                runner.table.rows.values
                    .forEach { it.value shouldNotContain bearer.substringAfterLast('_') }
                runner.run("key", "withdraw", id.value).isRight() shouldBe true
                runner
                    .run("key", "list")
                    .getOrNull()
                    .shouldNotBeNull()
                    .lines
                    .single() shouldContain "withdrawn"
            }

            it("require a client account from the document") {
                val runner = CommandRunner()
                runner.apply(FIRST)
                val failure = runner.run("key", "create", "--account", "nobody").leftOrNull()
                failure shouldBe CommandFailure.NotFound("client account nobody")
            }
        }

        describe("draining") {
            it("writes a row, which --undo removes") {
                val runner = CommandRunner()
                runner.apply("targets { pay-1 { kind = tool, max_running = 1 } }")
                runner.run("drain", "pay-1").isRight() shouldBe true
                runner.table.rows.containsKey("drain/production/pay-1") shouldBe true
                runner.run("drain", "pay-1", "--undo").isRight() shouldBe true
                runner.table.rows.containsKey("drain/production/pay-1") shouldBe false
                runner.run("drain", "pay-9").leftOrNull().shouldBeInstanceOf<CommandFailure.NotFound>()
            }
        }
    })
