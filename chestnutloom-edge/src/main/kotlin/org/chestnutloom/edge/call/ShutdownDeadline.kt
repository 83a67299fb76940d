package org.chestnutloom.edge.call

import kotlin.time.Duration

/** The end of the shutdown grace period; confined to the event loop. */
internal class ShutdownDeadline {
    private var endsAt: Duration? = null

    /** Whether the gateway is shutting down. */
    val isShuttingDown: Boolean
        get() = endsAt != null

    /** Sets the monotonic [time] at which the gateway exits. */
    fun set(time: Duration) {
        endsAt = time
    }

    /** Returns whether the gateway may exit before [time] on the monotonic clock. */
    fun isBefore(time: Duration): Boolean = endsAt.let { it != null && it < time }
}
