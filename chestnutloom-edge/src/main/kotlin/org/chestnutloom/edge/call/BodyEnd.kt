package org.chestnutloom.edge.call

/** How the body of a target's response ended. */
internal sealed interface BodyEnd {
    /** The body counts as complete because of [evidence]. */
    data class Complete(
        val evidence: CompletionEvidence,
    ) : BodyEnd

    /** The body does not count as complete. */
    data class Broken(
        val cause: String,
    ) : BodyEnd
}
