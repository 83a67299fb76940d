package org.chestnutloom.fakes.load

import kotlin.time.Duration

/**
 * The outcome of one program.
 *
 * @property id the id that the gateway assigned, or null if the program was never opened
 * @property failure why the program failed, or null if it completed
 */
internal data class ProgramOutcome(
    val account: String,
    val id: String?,
    val latency: Duration,
    val endedAtMs: Long,
    val failure: String?,
)
