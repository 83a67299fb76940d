package org.chestnutloom.edge.target

/**
 * The position of a queued request, as computed when the queue was last sorted.
 *
 * @property isStarving whether the request has waited for longer than the bound; such requests go first
 * @property isLate whether its program's deadline can no longer be met
 * @property isOverShare whether its client account has more than its share of the work
 * @property slackMs the time that is left if the request ran now
 */
internal data class QueueRank(
    val isStarving: Boolean,
    val isLate: Boolean,
    val isOverShare: Boolean,
    val slackMs: Long,
)
