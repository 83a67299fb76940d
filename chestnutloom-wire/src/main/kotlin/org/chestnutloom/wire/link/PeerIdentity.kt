package org.chestnutloom.wire.link

import kotlinx.serialization.Serializable
import org.chestnutloom.id.Incarnation

/**
 * Says which run of which process stands at an end of a link.
 *
 * @property id the gateway id or target id
 */
@Serializable
public data class PeerIdentity(
    public val id: String,
    public val incarnation: Incarnation,
    public val role: PeerRole,
)
