package org.chestnutloom.sidecar.cache

import org.chestnutloom.id.ProgramId
import org.chestnutloom.wire.link.PeerIdentity

/** The cache of a plain service, which keeps no state for programs. */
internal object NoProgramCache : ProgramCache {
    override val tokens: Map<ProgramId, Long> = emptyMap()

    override fun touch(
        program: ProgramId,
        holder: PeerIdentity,
    ) = Unit

    override fun recordTokens(
        program: ProgramId,
        tokens: Long,
    ) = Unit

    override suspend fun end(program: ProgramId) = Unit

    override suspend fun sweep(
        running: Set<ProgramId>,
        liveHolders: Set<PeerIdentity>,
    ) = Unit
}
