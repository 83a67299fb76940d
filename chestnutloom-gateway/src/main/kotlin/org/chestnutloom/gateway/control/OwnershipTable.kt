package org.chestnutloom.gateway.control

import org.chestnutloom.id.ProgramId

/** Resolves which gateway owns a program. */
public interface OwnershipTable {
    /** Returns which gateway must run requests for [program]. */
    public suspend fun locate(program: ProgramId): ProgramLocation

    /** Rereads the owner of [program] and locates it; used when the gateway located before no longer owns it. */
    public suspend fun refreshAndLocate(program: ProgramId): ProgramLocation = locate(program)

    /** Registers an in-flight request for [program], which prevents the handover of its slot until [endRequest]. */
    public fun beginRequest(program: ProgramId)

    /** Ends a request that was registered with [beginRequest]. */
    public fun endRequest(program: ProgramId)
}
