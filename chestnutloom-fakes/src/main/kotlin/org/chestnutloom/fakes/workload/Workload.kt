package org.chestnutloom.fakes.workload

import kotlinx.serialization.Serializable

/**
 * A workload document: the client accounts, their programs, the fleet and the faults to inject.
 *
 * @property arrivalsMs length of the period in which programs arrive, in milliseconds
 * @property deadlineMs time after its arrival within which a program must complete, in milliseconds
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
