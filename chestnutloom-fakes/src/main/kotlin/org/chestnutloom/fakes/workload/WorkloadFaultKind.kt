package org.chestnutloom.fakes.workload

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What happens to a process during a workload. */
@Serializable
internal enum class WorkloadFaultKind {
    /** A target and its sidecar end at once, as when their VM dies. */
    @SerialName("lose_target")
    LOSE_TARGET,

    /** A gateway ends at once. */
    @SerialName("lose_gateway")
    LOSE_GATEWAY,
}
