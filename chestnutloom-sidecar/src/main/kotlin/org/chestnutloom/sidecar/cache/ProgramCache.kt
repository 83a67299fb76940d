package org.chestnutloom.sidecar.cache

import org.chestnutloom.id.ProgramId
import org.chestnutloom.wire.link.PeerIdentity

/** The cache that the target holds for programs. */
internal interface ProgramCache {
    /** Number of cached tokens by program. */
    val tokens: Map<ProgramId, Long>

    /** Renews the lease of [program] for [holder]. */
    fun touch(
        program: ProgramId,
        holder: PeerIdentity,
    )

    /** Records that [tokens] of [program] are cached after a call. */
    fun recordTokens(
        program: ProgramId,
        tokens: Long,
    )

    /** Releases the cache of [program], which has ended. */
    suspend fun end(program: ProgramId)

    /** Releases the cache of ended programs and of those with an expired lease, except the programs in [running]. */
    suspend fun sweep(
        running: Set<ProgramId>,
        liveHolders: Set<PeerIdentity>,
    )
}
