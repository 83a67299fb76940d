package org.chestnutloom.edge.target

import org.chestnutloom.id.TargetId
import org.chestnutloom.wire.link.PeerAddress
import kotlin.time.Duration

/**
 * The registration of a target.
 *
 * @property startedAtEpochMs when this run of the target began; distinguishes runs with the same id
 * @property slots the number of requests that the target serves concurrently
 * @property coldRemaining how much longer the target was cold when it wrote the entry
 */
public data class TargetEntry(
    public val id: TargetId,
    public val startedAtEpochMs: Long?,
    public val service: String,
    public val address: PeerAddress,
    public val failureDomain: String,
    public val slots: Int,
    public val stage: TargetStage,
    public val coldRemaining: Duration = Duration.ZERO,
)
