package org.chestnutloom.integration.quickstart

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.chestnutloom.fakes.engine.GeneratedText
import org.chestnutloom.fakes.launch.LaunchedProcess
import org.chestnutloom.integration.fleet.Fleet
import org.chestnutloom.integration.fleet.TEST_MODEL
import org.chestnutloom.integration.program.ProgramDriver
import org.chestnutloom.integration.program.StreamText
import java.nio.file.Files

/** Runs programs of two client accounts, each with streamed responses, a tool call and a sub-agent. */
internal class Quickstart(
    private val fleet: Fleet,
    private val print: (String) -> Unit,
) {
    private val failures = mutableListOf<QuickstartFailure>()

    /** Runs the programs and returns the checks that failed. */
    suspend fun run(): List<QuickstartFailure> {
        fleet.start()
        print(
            "Started ${fleet.gateways.size} gateways, ${fleet.engines.size} engines and ${fleet.tools.size} tool service.",
        )
        coroutineScope {
            fleet.options.accounts
                .mapIndexed { index, account -> async { runAccount(account.name, index) } }
                .awaitAll()
        }
        printSpans()
        stopGracefully()
        return failures
    }

    private suspend fun runAccount(
        account: String,
        gateway: Int,
    ) {
        val key = fleet.createKey(account)
        print("$account: created key ${key.id}; its secret is shown once and not printed here.")
        val program = ProgramDriver(fleet.caller, { fleet.gatewayUrls }, key.bearer, gateway)
        program.open("quote")
        repeat(MODEL_TURNS) { streamTurn(account, program, it + 1) }
        runToolTurn(account, program, MODEL_TURNS + 1)
        runSubAgent(account, program, key.bearer, gateway)
        streamTurn(account, program, MODEL_TURNS + 2)
        readHistory(account, program)
        verify("$account: close", program.close().status == STATUS_OK)
    }

    private suspend fun streamTurn(
        account: String,
        program: ProgramDriver,
        number: Int,
    ) {
        val message = "$account turn $number"
        val response = program.runModelTurn(number, message, COMPLETION_TOKENS, stream = true)
        val text = StreamText.of(response)
        print("$account turn $number: $text")
        verify("$account: response of turn $number", text == GeneratedText.full(TEST_MODEL, message, COMPLETION_TOKENS))
    }

    private suspend fun runToolTurn(
        account: String,
        program: ProgramDriver,
        number: Int,
    ) {
        val response = program.runToolTurn(number, "payment of $account")
        print("$account turn $number: ${response.body}")
        verify("$account: tool call", response.status == STATUS_OK)
    }

    private suspend fun runSubAgent(
        account: String,
        parent: ProgramDriver,
        key: String,
        gateway: Int,
    ) {
        val child = ProgramDriver(fleet.caller, { fleet.gatewayUrls }, key, gateway + 1)
        child.open("pattern", tokens = 1_000, calls = 2, parent = parent.id)
        streamTurn("$account sub-agent", child, 1)
        verify("$account: close sub-agent", child.close().status == STATUS_OK)
    }

    private suspend fun readHistory(
        account: String,
        program: ProgramDriver,
    ) {
        print("$account program: ${program.read().body}")
        repeat(MODEL_TURNS + 2) { index ->
            val turn = program.readTurn(index + 1)
            verify("$account: history of turn ${index + 1}", turn.status == STATUS_OK)
        }
    }

    private fun printSpans() {
        val spans = processes().flatMap { process -> spanLines(process) }
        print("${spans.size} spans; the first ones:")
        spans.take(SHOWN_SPANS).forEach(print)
        verify("spans of gateways and sidecars", spans.size >= SHOWN_SPANS)
    }

    private fun spanLines(process: LaunchedProcess): List<String> =
        Files.readAllLines(process.output).filter { "event=span" in it }.map { "${process.name}: $it" }

    private suspend fun stopGracefully() {
        processes().forEach { process ->
            process.term()
            val exitCode = process.awaitExit()
            print("${process.name} stopped with exit code $exitCode")
            verify("graceful shutdown of ${process.name}", exitCode == 0)
        }
    }

    private fun processes(): List<LaunchedProcess> =
        fleet.gateways.map { it.process } + (fleet.engines + fleet.tools).map { it.sidecar }

    private fun verify(
        description: String,
        condition: Boolean,
    ) {
        if (!condition) failures += QuickstartFailure(description)
    }

    private companion object {
        const val MODEL_TURNS = 3
        const val COMPLETION_TOKENS = 12
        const val STATUS_OK = 200
        const val SHOWN_SPANS = 4
    }
}
