package org.chestnutloom.gateway.control

import org.chestnutloom.id.ProgramId

/** Knows which gateway owns which program. */
public interface OwnershipTable {
    /** Says where requests for [program] have to run. */
    public suspend fun locate(program: ProgramId): ProgramLocation

    /** Reads the owner of [program] again and locates it; for when the gateway located before no longer owns it. */
    public suspend fun refreshAndLocate(program: ProgramId): ProgramLocation = locate(program)

    /** Notes that a request for [program] is under way here, which keeps its slot from being handed over. */
    public fun beginRequest(program: ProgramId)

    /** Ends what [beginRequest] began. */
    public fun endRequest(program: ProgramId)
}
