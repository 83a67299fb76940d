package org.chestnutloom.fakes.workload

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Kinds of faults that a workload can inject. */
@Serializable
internal enum class WorkloadFaultKind {
    /** A target and its sidecar are killed, as if their VM had failed. */
    @SerialName("lose_target")
    LOSE_TARGET,

    /** A gateway is killed. */
    @SerialName("lose_gateway")
    LOSE_GATEWAY,
}
