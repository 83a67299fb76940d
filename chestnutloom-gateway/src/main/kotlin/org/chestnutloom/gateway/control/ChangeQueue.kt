package org.chestnutloom.gateway.control

/** Changes that wait for their group commit, in order and within a bound of memory. */
internal class ChangeQueue {
    private val changes = ArrayDeque<PendingChange>()

    /** The changes of the group that is being committed. */
    var group: List<PendingChange> = emptyList()
        private set

    var sizeBytes: Long = 0
        private set

    val size: Int
        get() = changes.size

    /** Tells whether there is room for [change]. */
    fun hasRoom(change: PendingChange): Boolean = sizeBytes + change.sizeBytes <= MAX_QUEUE_BYTES

    fun add(change: PendingChange) {
        changes.addLast(change)
        sizeBytes += change.sizeBytes
    }

    /** Takes the oldest changes as the next group. */
    fun nextGroup(): List<PendingChange> {
        var groupBytes = 0L
        group =
            changes.take(MAX_GROUP_CHANGES).takeWhile {
                groupBytes += it.sizeBytes
                groupBytes <= MAX_GROUP_BYTES || groupBytes == it.sizeBytes
            }
        return group
    }

    /** Removes [gone], which are durable or have failed. */
    fun remove(gone: Collection<PendingChange>) {
        val set = gone.toSet()
        changes.removeAll { it in set }
        sizeBytes -= set.sumOf { it.sizeBytes }
    }

    fun all(): List<PendingChange> = changes.toList()

    private companion object {
        const val MAX_QUEUE_BYTES = 48L * 1024 * 1024
        const val MAX_GROUP_BYTES = 2L * 1024 * 1024
        const val MAX_GROUP_CHANGES = 200
    }
}
