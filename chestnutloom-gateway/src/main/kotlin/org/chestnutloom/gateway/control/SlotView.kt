package org.chestnutloom.gateway.control

import org.chestnutloom.membership.SlotRecord
import kotlin.time.Duration

/**
 * The row of one slot as it was last read or written.
 *
 * @property record the row, or null when there is none
 * @property version the row's version, or the one that stands for no row
 * @property readAt when the read or write ended, on the monotonic clock
 */
internal data class SlotView(
    val record: SlotRecord?,
    val version: Long,
    val readAt: Duration,
)
