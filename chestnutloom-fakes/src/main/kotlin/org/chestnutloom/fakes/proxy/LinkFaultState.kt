package org.chestnutloom.fakes.proxy

/** The active fault of a link and how often it can still be applied. */
internal class LinkFaultState {
    private val lock = Any()
    private var current = ActiveFault(LinkFault.NONE, 0)
    private var remainingCount: Int? = null
    private var applied = 0

    val active: ActiveFault
        get() = synchronized(lock) { current }

    val appliedCount: Int
        get() = synchronized(lock) { applied }

    fun set(fault: LinkFault) {
        synchronized(lock) {
            current = ActiveFault(fault, current.generation + 1)
            remainingCount = fault.count
        }
    }

    /** Counts one application of the fault of [generation]; returns false if it was replaced or is used up. */
    fun tryApply(generation: Int): Boolean =
        synchronized(lock) {
            val remaining = remainingCount
            if (generation != current.generation || remaining == 0) return false
            remainingCount = remaining?.minus(1)
            applied++
            true
        }
}
