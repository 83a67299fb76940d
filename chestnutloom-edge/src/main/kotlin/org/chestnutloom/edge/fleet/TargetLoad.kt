package org.chestnutloom.edge.fleet

import kotlinx.serialization.Serializable
import org.chestnutloom.id.TargetId

/**
 * The load that one gateway puts on a target.
 *
 * @property requests the number of queued and running requests
 */
@Serializable
public data class TargetLoad(
    public val target: TargetId,
    public val requests: Int,
)
