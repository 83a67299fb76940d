package org.chestnutloom.cache

import kotlin.time.Duration

/**
 * How long an engine keeps the cache of a program that has no call in flight.
 *
 * @property orphaned time since last use after which a program without a live holder is released
 * @property idle time since last use after which a program with a live holder is released
 */
public data class CacheRetention(
    public val orphaned: Duration,
    public val idle: Duration,
)
