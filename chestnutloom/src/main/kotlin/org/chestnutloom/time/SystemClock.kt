package org.chestnutloom.time

import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Returns the system clock of this VM. */
public fun systemClock(): Clock = SystemClock

private object SystemClock : Clock {
    override fun now(): Instant = Instant.now()

    override fun elapsed(): Duration = System.nanoTime().nanoseconds
}
