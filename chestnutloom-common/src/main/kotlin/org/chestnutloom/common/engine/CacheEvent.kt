package org.chestnutloom.common.engine

import kotlinx.serialization.Serializable
import org.chestnutloom.id.ProgramId

/**
 * One change to an engine's prefix cache. Events arrive with a delay, and sequence numbers may have gaps.
 *
 * @property tokens the number of prompt tokens stored or evicted
 */
@Serializable
public data class CacheEvent(
    public val sequence: Long,
    public val program: ProgramId,
    public val tokens: Long,
    public val kind: CacheEventKind,
)
