package org.chestnutloom.edge.crash

/** Permits trials of quarantined requests, at most one at a time for each request in the whole fleet. */
internal fun interface SuspectTrials {
    /** Returns whether this gateway may now send one request with [fingerprint] to a target. */
    suspend fun claim(fingerprint: RequestFingerprint): Boolean
}
