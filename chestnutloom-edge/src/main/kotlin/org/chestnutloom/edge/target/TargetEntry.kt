package org.chestnutloom.edge.target

import org.chestnutloom.id.TargetId
import org.chestnutloom.wire.link.PeerAddress

/**
 * What a target says of itself.
 *
 * @property startedAtEpochMs when this run of the target began; it tells runs under the same id apart
 * @property slots requests that it serves at once
 */
public data class TargetEntry(
    public val id: TargetId,
    public val startedAtEpochMs: Long?,
    public val service: String,
    public val address: PeerAddress,
    public val failureDomain: String,
    public val slots: Int,
    public val stage: TargetStage,
)
