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

/** The main job: programs of two client accounts with streamed answers, a tool call and a sub-agent. */
internal class Quickstart(
    private val fleet: Fleet,
    private val print: (String) -> Unit,
) {
    private val faults = mutableListOf<QuickstartFault>()

    /** Runs the job and returns what went wrong. */
    suspend fun run(): List<QuickstartFault> {
        fleet.start()
        print(
            "Started ${fleet.gateways.size} gateways, ${fleet.engines.size} engines and ${fleet.tools.size} plain service.",
        )
        coroutineScope {
            fleet.options.accounts
                .mapIndexed { index, account -> async { runAccount(account.name, index) } }
                .awaitAll()
        }
        printSpans()
        stopGracefully()
        return faults
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
        toolTurn(account, program, MODEL_TURNS + 1)
        subAgent(account, program, key.bearer, gateway)
        streamTurn(account, program, MODEL_TURNS + 2)
        readHistory(account, program)
        expect("$account: close", program.close().status == OK)
    }

    private suspend fun streamTurn(
        account: String,
        program: ProgramDriver,
        number: Int,
    ) {
        val message = "$account turn $number"
        val answer = program.modelTurn(number, message, TOKENS, stream = true)
        val text = StreamText.of(answer)
        print("$account turn $number: $text")
        expect("$account: answer of turn $number", text == GeneratedText.full(TEST_MODEL, message, TOKENS))
    }

    private suspend fun toolTurn(
        account: String,
        program: ProgramDriver,
        number: Int,
    ) {
        val answer = program.toolTurn(number, "payment of $account")
        print("$account turn $number: ${answer.body}")
        expect("$account: tool call", answer.status == OK)
    }

    private suspend fun subAgent(
        account: String,
        parent: ProgramDriver,
        key: String,
        gateway: Int,
    ) {
        val child = ProgramDriver(fleet.caller, { fleet.gatewayUrls }, key, gateway + 1)
        child.open("pattern", tokens = 1_000, calls = 2, parent = parent.id)
        streamTurn("$account sub-agent", child, 1)
        expect("$account: close sub-agent", child.close().status == OK)
    }

    private suspend fun readHistory(
        account: String,
        program: ProgramDriver,
    ) {
        print("$account program: ${program.read().body}")
        repeat(MODEL_TURNS + 2) { index ->
            val turn = program.readTurn(index + 1)
            expect("$account: history of turn ${index + 1}", turn.status == OK)
        }
    }

    private fun printSpans() {
        val spans = processes().flatMap { process -> spanLines(process) }
        print("${spans.size} spans; the first ones:")
        spans.take(SHOWN_SPANS).forEach(print)
        expect("spans of gateways and sidecars", spans.size >= SHOWN_SPANS)
    }

    private fun spanLines(process: LaunchedProcess): List<String> =
        Files.readAllLines(process.output).filter { "event=span" in it }.map { "${process.name}: $it" }

    private suspend fun stopGracefully() {
        processes().forEach { process ->
            process.term()
            val exitCode = process.awaitExit()
            print("${process.name} stopped with exit code $exitCode")
            expect("planned stop of ${process.name}", exitCode == 0)
        }
    }

    private fun processes(): List<LaunchedProcess> =
        fleet.gateways.map { it.process } + (fleet.engines + fleet.tools).map { it.sidecar }

    private fun expect(
        what: String,
        holds: Boolean,
    ) {
        if (!holds) faults += QuickstartFault(what)
    }

    private companion object {
        const val MODEL_TURNS = 3
        const val TOKENS = 12
        const val OK = 200
        const val SHOWN_SPANS = 4
    }
}
