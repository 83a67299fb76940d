package org.chestnutloom.store

import kotlinx.serialization.Serializable

/** The lifecycle state of a VM. */
@Serializable
public enum class VmState {
    /** The VM accepts work. */
    LIVE,

    /** The VM is about to be removed and must receive no new work. */
    LEAVING,
}
