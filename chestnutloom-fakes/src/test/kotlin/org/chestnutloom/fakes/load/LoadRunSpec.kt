package org.chestnutloom.fakes.load

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import org.chestnutloom.fakes.workload.ProgramPlanner
import org.chestnutloom.fakes.workload.Workload
import org.chestnutloom.fakes.workload.WorkloadDocuments
import org.chestnutloom.time.systemClock

private const val SEED = 5L

private fun workload(): Workload {
    val smoke = WorkloadDocuments.load("smoke")
    val shapes = smoke.shapes.map { it.copy(pauseMedianMs = 1, pauseMaxMs = 2) }
    return smoke.copy(arrivalsMs = 1_000, shapes = shapes)
}

private suspend fun resultOf(
    gateway: FakeGateway,
    workload: Workload = workload(),
): LoadResult {
    val standIn = gateway.standIn()
    standIn.start()
    val keys = workload.accounts.associate { it.name to "key" }
    val run = LoadRun(workload, SEED, listOf("http://127.0.0.1:${standIn.port}"), keys, systemClock())
    val outcome = run.run()
    standIn.stop()
    return LoadAccounting(workload, SEED, outcome).result(emptyList(), emptyList(), 0)
}

class LoadRunSpec :
    DescribeSpec({
        describe("a load run with seed $SEED") {
            it("runs the turns of every program in order and accepts all responses") {
                val gateway = FakeGateway()
                val result = resultOf(gateway)
                val plans = ProgramPlanner(workload(), SEED).plan()
                result.latency.count shouldBe plans.size
                result.accounts.sumOf { it.failures.values.sum() } shouldBe 0
                result.accounts.sumOf { it.modelTurns } shouldBe plans.sumOf { it.modelTurns }
                result.wrongAnswers shouldBe 0
                val first = plans.first()
                gateway.paths.filter { it.startsWith("c-${first.name}/") } shouldContainExactly
                    first.turns.indices.map { "c-${first.name}/${it + 1}" }
            }

            it("counts responses with a wrong text") {
                val result = resultOf(FakeGateway(sendsWrongText = true))
                result.wrongAnswers shouldBe result.accounts.sumOf { it.modelTurns }
            }

            it("counts a refusal within the rate as wrongful and retries the turn") {
                val result = resultOf(FakeGateway(refusedTurns = 1))
                result.wrongfulRefusals shouldBe 1
                result.accounts.sumOf { it.failures.values.sum() } shouldBe 0
            }

            it("counts no refusal of an account that exceeds its rate as wrongful") {
                val accounts = workload().accounts.map { it.copy(overload = 1.1) }
                val result = resultOf(FakeGateway(refusedTurns = 1), workload().copy(accounts = accounts))
                result.wrongfulRefusals shouldBe 0
                result.accounts.sumOf { it.refusals["rate_limited"] ?: 0 } shouldBe 1
            }
        }
    })
