package org.chestnutloom.sidecar.cache

import org.chestnutloom.id.ProgramId
import org.chestnutloom.wire.link.PeerIdentity

/** The memory that the target holds for programs. */
internal interface ProgramCache {
    /** Cached tokens of each program. */
    val tokens: Map<ProgramId, Long>

    /** Takes note that [holder] spoke of [program]. */
    fun mention(
        program: ProgramId,
        holder: PeerIdentity,
    )

    /** Takes note that a call left [tokens] of [program] in the cache. */
    fun hold(
        program: ProgramId,
        tokens: Long,
    )

    /** Frees the memory of [program], which is gone. */
    suspend fun end(program: ProgramId)

    /** Frees the memory of programs that are gone, except those with a call among [running]. */
    suspend fun sweep(
        running: Set<ProgramId>,
        liveHolders: Set<PeerIdentity>,
    )
}
