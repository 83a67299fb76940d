package org.chestnutloom.wire.link

import kotlinx.serialization.Serializable

/** The kind of process at one end of a link. */
@Serializable
public enum class PeerRole {
    /** A gateway. */
    GATEWAY,

    /** A sidecar. */
    SIDECAR,
}
