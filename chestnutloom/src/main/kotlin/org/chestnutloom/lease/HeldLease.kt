package org.chestnutloom.lease

import kotlin.time.Duration

/** The last successful write of a lease row by its holder: its content, its version and when it was sent. */
internal data class HeldLease(
    val record: LeaseRecord,
    val version: Long,
    val renewedAt: Duration,
)
