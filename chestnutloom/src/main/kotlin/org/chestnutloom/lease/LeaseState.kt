package org.chestnutloom.lease

import kotlinx.serialization.Serializable

/** The state of a gateway lease. */
@Serializable
public enum class LeaseState {
    /** The gateway serves requests. */
    ACTIVE,

    /** The gateway is shutting down gracefully and accepts no new requests. */
    LEAVING,

    /** The lease was revoked: the gateway cannot write, and other gateways may take over its slots and rights. */
    FENCED,
}
