package org.chestnutloom.gateway.control

import org.chestnutloom.lease.LeaseRecord
import org.chestnutloom.store.Row
import kotlin.time.Duration

/**
 * The lease row of one gateway as last read.
 *
 * @property changedAt when this gateway first read the row's current version, on the monotonic clock
 */
internal data class LeaseRow(
    val row: Row,
    val record: LeaseRecord,
    val changedAt: Duration,
)
