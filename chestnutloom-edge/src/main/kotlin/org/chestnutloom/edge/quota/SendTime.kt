package org.chestnutloom.edge.quota

import org.chestnutloom.time.Clock
import java.time.temporal.ChronoUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The time at which a message was sent, which is the time of construction. */
internal class SendTime(
    private val clock: Clock,
) {
    private val elapsed = clock.elapsed()
    private val wall = clock.now()

    /**
     * The time since then by the monotonic or the wall clock, whichever is longer: the monotonic clock of some VMs stops
     * while the VM is suspended, and the wall clock may be set back.
     */
    val age: Duration
        get() = maxOf(clock.elapsed() - elapsed, wall.until(clock.now(), ChronoUnit.MILLIS).milliseconds)
}
