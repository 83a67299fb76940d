package org.chestnutloom.cache

import kotlin.time.Duration

/**
 * How long an engine keeps memory for a program that is not running.
 *
 * @property orphaned how long without a live holder
 * @property idle how long without a call
 */
public data class CacheRetention(
    public val orphaned: Duration,
    public val idle: Duration,
)
