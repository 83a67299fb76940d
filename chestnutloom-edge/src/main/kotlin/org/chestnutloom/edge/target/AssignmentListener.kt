package org.chestnutloom.edge.target

/** Learns to which targets requests are assigned; called on the event loop before the next request is assigned. */
internal interface AssignmentListener {
    /** A request with [required] got a slot at [target]. */
    fun assigned(
        required: TargetRequirements,
        target: Target,
    ) = Unit

    /** A request that got a slot at [target] was not sent there. */
    fun withdrawn(target: Target) = Unit
}
