package org.chestnutloom.store

import kotlinx.serialization.Serializable

/** What a VM carries. */
@Serializable
public enum class VmRole {
    /** An entry VM with a gateway. */
    GATEWAY,

    /** A target VM with a sidecar. */
    TARGET,
}
