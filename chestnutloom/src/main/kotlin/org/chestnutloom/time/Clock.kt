package org.chestnutloom.time

import java.time.Instant
import kotlin.time.Duration

/** A source of time, injected into all code that depends on time. */
public interface Clock {
    /** Returns the wall-clock time, which may differ between VMs. */
    public fun now(): Instant

    /**
     * Returns the monotonic time since an arbitrary fixed origin.
     *
     * It never decreases, and it advances while the process is paused.
     */
    public fun elapsed(): Duration
}
