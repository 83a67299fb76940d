package org.chestnutloom.time

import java.time.Instant
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Returns a clock that moves only when told to, for tests and experiments. */
public fun manualClock(start: Instant = Instant.EPOCH): ManualClock = ManualClock(start)

/** A clock that moves only by [advance]. */
public class ManualClock internal constructor(
    private val start: Instant,
) : Clock {
    private val elapsedNanos = AtomicLong()

    /** Moves the clock forward by [duration]. */
    public fun advance(duration: Duration) {
        elapsedNanos.addAndGet(duration.inWholeNanoseconds)
    }

    override fun now(): Instant = start.plusNanos(elapsedNanos.get())

    override fun elapsed(): Duration = elapsedNanos.get().nanoseconds
}
