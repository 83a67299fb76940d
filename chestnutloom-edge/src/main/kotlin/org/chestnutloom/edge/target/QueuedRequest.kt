package org.chestnutloom.edge.target

import kotlinx.coroutines.CompletableDeferred
import kotlin.time.Duration

/**
 * A request that waits for a slot.
 *
 * @property arrival increases with each request that is queued
 * @property queuedAt when the request was queued, on the monotonic clock
 * @property serviceMs how long the request is expected to occupy a slot
 */
internal class QueuedRequest(
    val requirements: TargetRequirements,
    val arrival: Long,
    val queuedAt: Duration,
    val serviceMs: Double,
) {
    /** The target whose slot was assigned to the request. */
    val target = CompletableDeferred<Target>()

    /** Set by a policy that ranks requests. */
    var rank = QueueRank(isStarving = false, isLate = false, isOverShare = false, slackMs = 0)
}
