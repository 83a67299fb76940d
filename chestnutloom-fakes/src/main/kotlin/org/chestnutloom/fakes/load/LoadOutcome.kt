package org.chestnutloom.fakes.load

import org.chestnutloom.fakes.workload.ProgramPlan

/**
 * What the programs of a workload met.
 *
 * @property ends how each root program went, by its plan's name
 * @property ids ids of all programs that were opened, sub-agents included, by their plans' names
 */
internal class LoadOutcome(
    val plans: List<ProgramPlan>,
    val ends: Map<String, ProgramEnd>,
    val ids: Map<String, String>,
    val traffic: Map<String, AccountTraffic>,
)
