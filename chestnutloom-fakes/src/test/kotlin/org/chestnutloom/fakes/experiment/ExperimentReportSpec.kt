package org.chestnutloom.fakes.experiment

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import org.chestnutloom.fakes.load.CacheWaste
import org.chestnutloom.fakes.load.LatencySummary
import org.chestnutloom.fakes.load.LoadResult
import java.nio.file.Files
import kotlin.time.Duration.Companion.milliseconds

private fun armRun(
    arm: String,
    seed: Long,
    latencyMs: Int,
): ArmRun {
    val load =
        LoadResult(
            workload = "w",
            seed = seed,
            latency = LatencySummary.of(listOf(latencyMs.milliseconds)),
            worstP95Ms = 30,
            medianP95Ms = 20,
            worstShareRatio = 1.0,
            requests = 10,
            requestsInsideRate = 10,
            wrongfulRefusals = 1,
            wrongAnswers = 0,
            duplicateEffects = 0,
            cache = CacheWaste(0, 0, 0, 0.0, 0),
            accounts = emptyList(),
        )
    return ArmRun(arm, seed, load, ControlCost(1.0, 1.0, 1.0, 1.0, 1.0, 1.0))
}

class ExperimentReportSpec :
    DescribeSpec({
        val runs =
            listOf(50, 10, 30).mapIndexed { index, latency -> armRun("fifo", index + 1L, latency) } +
                listOf(5, 6, 7).mapIndexed { index, latency -> armRun("fair", index + 1L, latency) }
        val result = ExperimentResult("w", listOf(1, 2, 3), listOf(Arm("fifo", listOf("--x")), Arm("fair")), runs)

        describe("the report of an experiment") {
            it("states the median and the spread over the seeds for each arm") {
                val page = ExperimentReport(result, listOf("w-latency.png")).toMarkdown()
                page shouldContain "Seeds 1, 2, 3."
                page shouldContain "| program latency p95, ms | 30.00 (10.00 to 50.00) | 6.00 (5.00 to 7.00) |"
                page shouldContain "| worst account's p95 / median account's | 1.50 (1.50 to 1.50)"
                page shouldContain "| wrongful refusals per 1,000 requests | 100 (100 to 100)"
                page shouldContain "- fifo: `--x`"
                page shouldContain "![w-latency.png](w-latency.png)"
            }
        }

        describe("the plots of an experiment") {
            it("are written as files") {
                val directory = tempdir().toPath()
                val plots = ExperimentPlots(result, directory).write()
                plots shouldContainExactly listOf("w-latency.png", "w-worst-account.png", "w-prefill.png")
                plots.forEach { Files.size(directory.resolve(it)) shouldBeGreaterThan 0 }
            }
        }

        describe("the resource usage of a process") {
            it("is read from the operating system while the process is running") {
                val usage = ProcessUsage.read(ProcessHandle.current().pid())
                (usage ?: ProcessUsage(0, 0)).residentKb shouldBeGreaterThan 0
                ProcessUsage.read(Long.MAX_VALUE) shouldBe null
            }
        }
    })
