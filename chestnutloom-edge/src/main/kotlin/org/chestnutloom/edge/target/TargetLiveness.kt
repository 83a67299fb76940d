package org.chestnutloom.edge.target

/** Tells whether a target has outlived the end of one of its connections. */
internal fun interface TargetLiveness {
    /**
     * Returns whether the run of [target] that served the connection shows that it still runs; false if that is not
     * known.
     *
     * @param evidence what the exchange on the connection shows about that run
     */
    suspend fun isAlive(
        target: Target,
        evidence: RunEvidence,
    ): Boolean
}
