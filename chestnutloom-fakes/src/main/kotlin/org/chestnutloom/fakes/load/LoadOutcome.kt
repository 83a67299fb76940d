package org.chestnutloom.fakes.load

import org.chestnutloom.fakes.workload.ProgramPlan

/**
 * The outcomes of the programs of a workload.
 *
 * @property programs the outcome of each root program, by the name of its plan
 * @property programIds ids of all opened programs, sub-agents included, by the name of their plan
 */
internal class LoadOutcome(
    val plans: List<ProgramPlan>,
    val programs: Map<String, ProgramOutcome>,
    val programIds: Map<String, String>,
    val traffic: Map<String, AccountTraffic>,
)
