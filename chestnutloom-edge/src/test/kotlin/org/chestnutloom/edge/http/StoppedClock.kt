package org.chestnutloom.edge.http

import org.chestnutloom.time.Clock
import java.time.Instant
import kotlin.time.Duration

/** A clock for tests in which no time passes. */
internal object StoppedClock : Clock {
    override fun now(): Instant = Instant.EPOCH

    override fun elapsed(): Duration = Duration.ZERO
}
