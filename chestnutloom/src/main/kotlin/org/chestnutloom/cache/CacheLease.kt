package org.chestnutloom.cache

import kotlin.time.Duration

/**
 * The cache that an engine holds for one program.
 *
 * @property holder the gateway process that last used the program, or null if none has
 * @property tokens last known number of cached tokens
 * @property lastUsedAt when a gateway last used the program, or when the engine first listed it, on the monotonic clock
 */
public data class CacheLease(
    public val holder: String?,
    public val tokens: Long,
    public val lastUsedAt: Duration,
)
