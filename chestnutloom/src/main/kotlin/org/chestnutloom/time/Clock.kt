package org.chestnutloom.time

import java.time.Instant
import kotlin.time.Duration

/** Tells the time; every decision that depends on time takes one. */
public interface Clock {
    /** Returns the time of day, which other VMs may disagree with. */
    public fun now(): Instant

    /**
     * Returns the time since an arbitrary fixed origin.
     *
     * It never goes back, and it goes on while the process is paused.
     */
    public fun elapsed(): Duration
}
