package org.chestnutloom.time

import java.time.Instant
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Returns a clock that is advanced manually, for tests and experiments. */
public fun manualClock(start: Instant = Instant.EPOCH): ManualClock = ManualClock(start)

/** A clock that changes only through [advance]. */
public class ManualClock internal constructor(
    private val start: Instant,
) : Clock {
    private val elapsedNanos = AtomicLong()

    /** Advances the clock by [duration]. */
    public fun advance(duration: Duration) {
        elapsedNanos.addAndGet(duration.inWholeNanoseconds)
    }

    override fun now(): Instant = start.plusNanos(elapsedNanos.get())

    override fun elapsed(): Duration = elapsedNanos.get().nanoseconds
}
