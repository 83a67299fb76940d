package org.chestnutloom.store

import kotlinx.serialization.Serializable

/** Whether the platform keeps or removes a VM. */
@Serializable
public enum class VmState {
    /** The VM takes work. */
    LIVE,

    /** The VM is about to be removed and must get no new work. */
    LEAVING,
}
