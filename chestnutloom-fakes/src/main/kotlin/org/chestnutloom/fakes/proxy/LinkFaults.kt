package org.chestnutloom.fakes.proxy

/** The fault that is in force on a link, and how many connections it still holds for. */
internal class LinkFaults {
    private val lock = Any()
    private var current = ActiveFault(LinkFault.NONE, 0)
    private var left: Int? = null
    private var taken = 0

    val active: ActiveFault
        get() = synchronized(lock) { current }

    val takenCount: Int
        get() = synchronized(lock) { taken }

    fun set(fault: LinkFault) {
        synchronized(lock) {
            current = ActiveFault(fault, current.generation + 1)
            left = fault.count
        }
    }

    /** Uses up one of the times that the fault of [generation] holds for, and tells whether there was one. */
    fun take(generation: Int): Boolean =
        synchronized(lock) {
            val remaining = left
            if (generation != current.generation || remaining == 0) return false
            left = remaining?.minus(1)
            taken++
            true
        }
}
