package org.chestnutloom.edge.target

/** Tells whether a target outlived a moment that has just passed, such as the end of one of its connections. */
internal fun interface TargetLiveness {
    /** Returns whether this run of [target] shows that it still runs; false if that is not known. */
    suspend fun isAlive(target: Target): Boolean
}
