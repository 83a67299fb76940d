package org.chestnutloom.gateway.control

import org.chestnutloom.id.ProgramId

/** Knows which gateway owns which program. */
public interface OwnershipTable {
    /** Says where requests for [program] have to run. */
    public suspend fun locate(program: ProgramId): ProgramLocation

    /** Notes that a request for [program] is under way here, which keeps its slot from being handed over. */
    public fun enter(program: ProgramId)

    /** Ends what [enter] began. */
    public fun leave(program: ProgramId)
}
