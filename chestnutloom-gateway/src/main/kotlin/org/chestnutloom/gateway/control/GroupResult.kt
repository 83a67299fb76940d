package org.chestnutloom.gateway.control

import org.chestnutloom.id.ProgramId

/** What became of a group commit; in all cases but [Committed] it has not and will not take effect. */
internal sealed interface GroupResult {
    /** The group is durable; [programs] are the rows as written. */
    data class Committed(
        val programs: Map<ProgramId, ProgramSnapshot>,
    ) : GroupResult

    data class StoreDown(
        val detail: String,
    ) : GroupResult

    /** Rows of [programs] are not as this gateway last saw them. */
    data class Conflict(
        val programs: Set<ProgramId>,
    ) : GroupResult

    /** The lease is lost. */
    data object NotHeld : GroupResult
}
