package org.chestnutloom.fakes.command

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.chestnutloom.fakes.experiment.ArmRun
import org.chestnutloom.fakes.experiment.Arms
import org.chestnutloom.fakes.experiment.Experiment
import org.chestnutloom.fakes.experiment.ExperimentPlots
import org.chestnutloom.fakes.experiment.ExperimentReport
import org.chestnutloom.fakes.experiment.ExperimentResult
import org.chestnutloom.fakes.workload.Workload
import org.chestnutloom.fakes.workload.WorkloadDocuments
import org.chestnutloom.time.systemClock
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.writeText

/** Returns the command that runs a workload on separate processes, once for each arm and seed. */
@OptIn(ExperimentalCli::class)
internal fun experimentCommand(): Subcommand = ExperimentCommand()

@OptIn(ExperimentalCli::class)
private class ExperimentCommand : Subcommand("experiment", "Compares policies on a workload") {
    private val workload by option(
        ArgType.String,
        "workload",
        description = "Name of a bundled workload, or workload file",
    ).default("smoke")
    private val seeds by option(ArgType.String, "seeds", description = "Seeds, separated by commas").default("1")
    private val arms by
        option(ArgType.String, "arms", description = "Arms, separated by commas").default(Arms.names.joinToString(","))
    private val out by option(ArgType.String, "out", description = "Output directory").default("experiment")

    override fun execute() {
        limitLoggingToWarnings()
        val directory = Files.createDirectories(Path.of(out))
        val result = runBlocking { run(WorkloadDocuments.load(workload), directory) }
        write(result, directory)
    }

    private suspend fun run(
        workload: Workload,
        directory: Path,
    ): ExperimentResult {
        val selected = Arms.select(arms.split(','))
        val seedNumbers = seeds.split(',').map(String::toLong)
        return Experiment(workload, selected, seedNumbers, directory, systemClock(), ::report).run()
    }

    private fun report(run: ArmRun) {
        val latency = run.load.latency
        println(
            "event=arm_run arm=${run.arm} seed=${run.seed} programs=${latency.count} " +
                "p50_ms=${latency.p50Ms} p95_ms=${latency.p95Ms} wrongful_refusals=${run.load.wrongfulRefusals}",
        )
    }

    private fun write(
        result: ExperimentResult,
        directory: Path,
    ) {
        val json = Json { prettyPrint = true }
        directory.resolve("${result.workload}.json").writeText(json.encodeToString(result))
        val plots = ExperimentPlots(result, directory).write()
        val page = directory.resolve("${result.workload}.md")
        page.writeText(ExperimentReport(result, plots).toMarkdown())
        println("event=experiment_written page=$page")
    }
}
