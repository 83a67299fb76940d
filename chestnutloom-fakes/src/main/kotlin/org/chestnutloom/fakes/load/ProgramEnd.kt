package org.chestnutloom.fakes.load

import kotlin.time.Duration

/**
 * How one program went.
 *
 * @property id the program's id at the gateways, or null when it was never opened
 * @property failure why it failed, or null when it ended in order
 */
internal data class ProgramEnd(
    val account: String,
    val id: String?,
    val latency: Duration,
    val endedAtMs: Long,
    val failure: String?,
)
