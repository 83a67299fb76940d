package org.chestnutloom.fakes.command

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.chestnutloom.fakes.load.LoadAccounting
import org.chestnutloom.fakes.load.LoadResult
import org.chestnutloom.fakes.load.LoadRun
import org.chestnutloom.fakes.workload.WorkloadDocuments
import org.chestnutloom.time.systemClock

/** Returns the command that runs a workload against running gateways. */
@OptIn(ExperimentalCli::class)
internal fun loadCommand(): Subcommand = LoadCommand()

@OptIn(ExperimentalCli::class)
private class LoadCommand : Subcommand("load", "Runs a workload against running gateways") {
    private val workload by option(
        ArgType.String,
        "workload",
        description = "Name of a bundled workload, or workload file",
    ).default("smoke")
    private val seed by option(ArgType.Int, "seed", description = "Seed for the generation of programs").default(1)
    private val gateways by
        option(ArgType.String, "gateways", description = "Base URLs of the gateways, separated by commas").required()
    private val keys by
        option(ArgType.String, "keys", description = "Access keys as account=key, separated by commas").required()

    override fun execute() {
        limitLoggingToWarnings()
        println(json.encodeToString(runBlocking { run() }))
    }

    private suspend fun run(): LoadResult {
        val document = WorkloadDocuments.load(workload)
        val byAccount = keys.split(',').associate { it.substringBefore('=') to it.substringAfter('=') }
        val clock = systemClock()
        val outcome = LoadRun(document, seed.toLong(), gateways.split(','), byAccount, clock).run()
        val accounting = LoadAccounting(document, seed.toLong(), outcome)
        return accounting.result(emptyList(), emptyList(), clock.now().toEpochMilli())
    }

    private companion object {
        val json = Json { prettyPrint = true }
    }
}
