package org.chestnutloom.edge.fleet

import kotlinx.serialization.Serializable
import org.chestnutloom.id.TargetId

/**
 * What one gateway has at a target.
 *
 * @property requests requests that wait or run there
 */
@Serializable
public data class TargetLoad(
    public val target: TargetId,
    public val requests: Int,
)
