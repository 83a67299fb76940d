package org.chestnutloom.wire.link

import kotlinx.serialization.Serializable

/** What kind of process stands at an end of a link. */
@Serializable
public enum class PeerRole {
    /** A gateway. */
    GATEWAY,

    /** A sidecar. */
    SIDECAR,
}
