package org.chestnutloom.fakes.workload

import kotlinx.serialization.Serializable

/**
 * A workload document: who sends which programs, to what fleet, with which faults.
 *
 * @property arrivalsMs how long programs arrive, in milliseconds
 * @property deadlineMs how long after its arrival a program counts as failed, in milliseconds
 */
@Serializable
internal data class Workload(
    val name: String,
    val arrivalsMs: Long,
    val deadlineMs: Long,
    val fleet: WorkloadFleet,
    val accounts: List<WorkloadAccount>,
    val shapes: List<ProgramShape>,
    val faults: List<WorkloadFault> = emptyList(),
)
