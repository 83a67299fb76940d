package org.chestnutloom.lease

import kotlinx.serialization.Serializable

/** What the holder of a lease may do. */
@Serializable
public enum class LeaseState {
    /** The gateway serves. */
    ACTIVE,

    /** The gateway is in a planned stop and takes nothing new. */
    LEAVING,

    /** The lease is over: the gateway can write nothing, and what it held may be taken. */
    FENCED,
}
