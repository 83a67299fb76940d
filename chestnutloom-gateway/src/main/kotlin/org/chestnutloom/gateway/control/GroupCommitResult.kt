package org.chestnutloom.gateway.control

import org.chestnutloom.id.ProgramId

/** The result of a group commit. Unless it is [Committed], the group has not taken effect and never will. */
internal sealed interface GroupCommitResult {
    /** The group is durable; [programs] holds the rows as written. */
    data class Committed(
        val programs: Map<ProgramId, ProgramSnapshot>,
    ) : GroupCommitResult

    data class StoreUnavailable(
        val detail: String,
    ) : GroupCommitResult

    /** The rows of [programs] have changed since this gateway last read or wrote them. */
    data class Conflict(
        val programs: Set<ProgramId>,
    ) : GroupCommitResult

    /** This gateway no longer holds its lease. */
    data object NotHeld : GroupCommitResult
}
