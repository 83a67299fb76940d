package org.chestnutloom.integration.fleet

import kotlinx.collections.immutable.toImmutableList
import kotlinx.serialization.json.jsonPrimitive
import org.chestnutloom.fakes.launch.ProcessLauncher
import org.chestnutloom.fakes.launch.ProcessSpec
import java.nio.file.Files

/** Runs the command-line tool as a process. */
class OperatorCli(
    private val launcher: ProcessLauncher,
    private val environmentArguments: List<String>,
) {
    /** Runs the tool with [arguments] and waits until it exits. */
    suspend fun run(vararg arguments: String): CommandResult {
        val all = arguments.asList() + environmentArguments
        val process = launcher.start(ProcessSpec("cli-${arguments.first()}", MAIN, all.toImmutableList()))
        val exitCode = process.awaitExit()
        return CommandResult(exitCode, Files.readString(process.output))
    }

    /** Applies the document [text] to [environment]; throws [CommandFailedException] if the tool fails. */
    suspend fun applyDocument(
        text: String,
        environment: String,
        waitSeconds: Int = DEFAULT_WAIT_SECONDS,
    ): CommandResult {
        val file = Files.createTempFile("chestnutloom-", ".conf")
        Files.writeString(file, text)
        val result =
            run("apply", file.toString(), "--environment", environment, "--wait-seconds", waitSeconds.toString())
        Files.delete(file)
        return result.orThrow()
    }

    /** Creates a key for [account]; throws [CommandFailedException] if the tool fails. */
    suspend fun createKey(
        account: String,
        environment: String,
    ): CreatedKey {
        val result =
            run(
                "key",
                "create",
                "--account",
                account,
                "--environment",
                environment,
                "--output",
                "json",
            ).orThrow()
        val json = result.json()
        return CreatedKey(json.getValue("id").jsonPrimitive.content, json.getValue("key").jsonPrimitive.content)
    }

    private companion object {
        const val MAIN = "org.chestnutloom.cli.MainKt"
        const val DEFAULT_WAIT_SECONDS = 15
    }
}
