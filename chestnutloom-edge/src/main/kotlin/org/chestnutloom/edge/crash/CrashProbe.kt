package org.chestnutloom.edge.crash

/** Checks whether a target still listens. */
internal fun interface CrashProbe {
    /** Returns whether no process listens at the address of [run]. */
    suspend fun isDown(run: TargetRun): Boolean
}
