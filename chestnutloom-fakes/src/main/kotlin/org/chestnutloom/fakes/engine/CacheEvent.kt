package org.chestnutloom.fakes.engine

import kotlinx.serialization.Serializable

/**
 * One change of a prefix cache.
 *
 * @property sequence the number of the change, starting at 1
 * @property tokens the size of the entry after it was stored or before it was evicted
 * @property atMs the time of the change, in milliseconds since the Unix epoch
 */
@Serializable
public data class CacheEvent(
    public val sequence: Long,
    public val program: String,
    public val tokens: Long,
    public val kind: CacheEventKind,
    public val atMs: Long,
)
