package org.chestnutloom.gateway.control

import org.chestnutloom.config.KeyRecord
import kotlin.time.Duration

/**
 * What this gateway knows of one access key.
 *
 * @property record the key's row, or null when there is none
 * @property readAt when the row was read, on the monotonic clock
 */
internal data class CachedKey(
    val record: KeyRecord?,
    val readAt: Duration,
)
