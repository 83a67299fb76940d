package org.chestnutloom.fakes.workload

import kotlinx.serialization.Serializable

/**
 * A failure during a workload.
 *
 * @property atMs when it happens, in milliseconds after the first arrival may come
 * @property process the name of the process, such as `engine-1` or `gateway-2`
 */
@Serializable
internal data class WorkloadFault(
    val atMs: Long,
    val kind: WorkloadFaultKind,
    val process: String,
)
