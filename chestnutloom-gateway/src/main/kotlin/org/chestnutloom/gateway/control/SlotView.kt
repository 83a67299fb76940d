package org.chestnutloom.gateway.control

import org.chestnutloom.membership.SlotRecord
import kotlin.time.Duration

/**
 * The row of one slot as last read or written.
 *
 * @property record the row, or null if there is none
 * @property version the row's version, or `Condition.ABSENT` if there is no row
 * @property readAt when the read or write ended, on the monotonic clock
 */
internal data class SlotView(
    val record: SlotRecord?,
    val version: Long,
    val readAt: Duration,
)
