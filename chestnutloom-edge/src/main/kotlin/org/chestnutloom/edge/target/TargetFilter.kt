package org.chestnutloom.edge.target

/** Restricts the targets to which a request may be sent at the moment. */
internal fun interface TargetFilter {
    /**
     * Returns the targets of [candidates] to which a request with [required] may be sent.
     *
     * An empty result means that no target may be used, so a filter that only prefers some targets returns [candidates]
     * if none of them is preferred.
     */
    fun filter(
        required: TargetRequirements,
        candidates: List<Target>,
    ): List<Target>
}
