package org.chestnutloom.lease

import kotlin.time.Duration

/** A lease row as its holder last wrote it, and when that write was sent. */
internal data class HeldLease(
    val record: LeaseRecord,
    val version: Long,
    val renewedAt: Duration,
)
