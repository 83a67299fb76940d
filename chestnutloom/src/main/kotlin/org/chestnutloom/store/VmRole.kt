package org.chestnutloom.store

import kotlinx.serialization.Serializable

/** The role of a VM. */
@Serializable
public enum class VmRole {
    /** A VM that runs a gateway. */
    GATEWAY,

    /** A VM that runs a target and its sidecar. */
    TARGET,
}
