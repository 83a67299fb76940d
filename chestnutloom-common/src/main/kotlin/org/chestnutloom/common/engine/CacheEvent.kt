package org.chestnutloom.common.engine

import kotlinx.serialization.Serializable
import org.chestnutloom.id.ProgramId

/**
 * One change of an engine's prefix cache, reported late; numbers may be missing.
 *
 * @property tokens prompt tokens that were stored or evicted
 */
@Serializable
public data class CacheEvent(
    public val sequence: Long,
    public val program: ProgramId,
    public val tokens: Long,
    public val kind: CacheEventKind,
)
