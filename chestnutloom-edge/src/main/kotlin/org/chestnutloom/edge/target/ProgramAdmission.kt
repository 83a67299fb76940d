package org.chestnutloom.edge.target

/** Decides whether programs may start. */
internal fun interface ProgramAdmission {
    /** Returns whether a program whose first request has [required] may start now on the targets [usable]. */
    fun canStart(
        required: TargetRequirements,
        usable: List<Target>,
    ): Boolean

    /** Returns whether a program that may not start now should wait behind [startsAhead] others. */
    fun isWaitWorthwhile(
        required: TargetRequirements,
        usable: List<Target>,
        startsAhead: Int,
    ): Boolean = true

    /** Returns when a refused program should return, in milliseconds, or null for the scheduler's own estimate. */
    fun refused(
        required: TargetRequirements,
        usable: List<Target>,
    ): Long? = null

    /** Called when a program has got its first slot. */
    fun started(required: TargetRequirements) = Unit
}
