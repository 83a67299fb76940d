package org.chestnutloom.fakes.workload

import kotlinx.serialization.Serializable

/**
 * A fault that is injected during a workload.
 *
 * @property atMs when it is injected, in milliseconds after the start of the run
 * @property process the name of the process, such as `engine-1` or `gateway-2`
 */
@Serializable
internal data class WorkloadFault(
    val atMs: Long,
    val kind: WorkloadFaultKind,
    val process: String,
)
