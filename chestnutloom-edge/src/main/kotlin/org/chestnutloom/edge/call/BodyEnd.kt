package org.chestnutloom.edge.call

/** How the body of a target's response ended. */
internal sealed interface BodyEnd {
    /** The body counts as complete because of [evidence]. */
    data class Complete(
        val evidence: CompletionEvidence,
    ) : BodyEnd

    /**
     * The body does not count as complete.
     *
     * @property isTargetFailure whether the target or its connection failed, rather than a limit of this gateway
     */
    data class Broken(
        val cause: String,
        val isTargetFailure: Boolean = true,
    ) : BodyEnd
}
