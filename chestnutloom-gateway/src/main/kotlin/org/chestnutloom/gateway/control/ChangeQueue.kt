package org.chestnutloom.gateway.control

/** A queue of changes waiting for a group commit, bounded by their estimated size in memory. */
internal class ChangeQueue {
    private val changes = ArrayDeque<PendingChange>()

    /** The group that is being committed. */
    var group: List<PendingChange> = emptyList()
        private set

    var sizeBytes: Long = 0
        private set

    val size: Int
        get() = changes.size

    /** Returns whether [change] fits in the queue. */
    fun hasRoom(change: PendingChange): Boolean = sizeBytes + change.sizeBytes <= MAX_QUEUE_BYTES

    fun add(change: PendingChange) {
        changes.addLast(change)
        sizeBytes += change.sizeBytes
    }

    /** Returns the oldest changes as the next group, at least one if the queue is not empty; they stay in the queue. */
    fun nextGroup(): List<PendingChange> {
        var groupBytes = 0L
        group =
            changes.take(MAX_GROUP_CHANGES).takeWhile {
                groupBytes += it.sizeBytes
                groupBytes <= MAX_GROUP_BYTES || groupBytes == it.sizeBytes
            }
        return group
    }

    /** Removes [finished], which are durable or have failed. */
    fun remove(finished: Collection<PendingChange>) {
        val removed = finished.toSet()
        changes.removeAll { it in removed }
        sizeBytes -= removed.sumOf { it.sizeBytes }
    }

    fun all(): List<PendingChange> = changes.toList()

    private companion object {
        const val MAX_QUEUE_BYTES = 48L * 1024 * 1024
        const val MAX_GROUP_BYTES = 2L * 1024 * 1024
        const val MAX_GROUP_CHANGES = 200
    }
}
