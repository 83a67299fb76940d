package org.chestnutloom.gateway.control

import org.chestnutloom.config.KeyRecord
import kotlin.time.Duration

/**
 * A cached lookup of one access key.
 *
 * @property record the key's row, or null if the store has none
 * @property readAt when the row was read, on the monotonic clock
 */
internal data class CachedKey(
    val record: KeyRecord?,
    val readAt: Duration,
)
