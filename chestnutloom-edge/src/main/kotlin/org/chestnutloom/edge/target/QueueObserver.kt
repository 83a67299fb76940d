package org.chestnutloom.edge.target

/** Ranks the requests of a queue, and learns which requests wait. */
internal interface QueueObserver {
    /** Updates the rank of [request] to the current time. */
    fun rank(request: QueuedRequest) = Unit

    /** Called when [request] begins to wait. */
    fun added(request: QueuedRequest) = Unit

    /** Called when [request] no longer waits. */
    fun removed(request: QueuedRequest) = Unit

    /** Returns whether [request] leaves the last free slot of [usable] to a more urgent request elsewhere for now. */
    fun mustLeaveSlot(
        request: QueuedRequest,
        usable: List<Target>,
    ): Boolean = false
}
