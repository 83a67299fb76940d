package org.chestnutloom.fakes.engine

import kotlinx.serialization.Serializable

/**
 * One change of a prefix cache.
 *
 * @property sequence counts the changes, from 1
 * @property tokens the entry's tokens, after storing or before eviction
 * @property atMs when it happened, in milliseconds since 1970 UTC
 */
@Serializable
public data class CacheEvent(
    public val sequence: Long,
    public val program: String,
    public val tokens: Long,
    public val kind: CacheEventKind,
    public val atMs: Long,
)
