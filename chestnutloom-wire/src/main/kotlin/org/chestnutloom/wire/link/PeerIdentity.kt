package org.chestnutloom.wire.link

import kotlinx.serialization.Serializable
import org.chestnutloom.id.Incarnation

/**
 * Identifies the process at one end of a link, and its incarnation.
 *
 * @property id the gateway id, or the target id of a sidecar
 */
@Serializable
public data class PeerIdentity(
    public val id: String,
    public val incarnation: Incarnation,
    public val role: PeerRole,
)
