package org.chestnutloom.edge.crash

/** Finds out whether a target still listens. */
internal fun interface CrashProbe {
    /** Returns whether nobody listens at the address of [run]. */
    suspend fun isDown(run: TargetRun): Boolean
}
