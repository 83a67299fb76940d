package org.chestnutloom.cache

import kotlin.time.Duration

/**
 * What an engine holds for one program.
 *
 * @property holder the gateway process that spoke of the program last, or null when none has
 * @property tokens cached tokens, as far as is known
 * @property lastUsedAt when a gateway spoke of the program last, or the engine was first found to hold it, on the
 *   monotonic clock
 */
public data class CacheLease(
    public val holder: String?,
    public val tokens: Long,
    public val lastUsedAt: Duration,
)
