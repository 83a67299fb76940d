package org.chestnutloom.lease

import org.chestnutloom.store.Row
import kotlin.time.Duration

/** Returns an observer that reports a lease as expired after its row was unchanged for [leaseDuration]. */
public fun leaseObserver(
    leaseDuration: Duration,
    maxReadGap: Duration,
): LeaseObserver = LeaseObserver(leaseDuration, maxReadGap)

/**
 * Observes the lease rows of other gateways and finds those that may be fenced.
 *
 * A row has expired when it was unchanged for the full lease duration on the observer's monotonic clock, with the store
 * readable throughout. A gap between two reads that exceeds the maximum restarts all observations: during a store
 * outage holders keep their leases while no other gateway can read the store, and after it they rely on being observed
 * for a full lease duration before they are fenced.
 */
public class LeaseObserver internal constructor(
    private val leaseDuration: Duration,
    private val maxReadGap: Duration,
) {
    private var observations = emptyMap<String, RowObservation>()
    private var lastReadAt: Duration? = null

    /** Records all lease rows returned by a read that ended at [endedAt]. */
    @Synchronized
    public fun observe(
        rows: List<Row>,
        endedAt: Duration,
    ) {
        val last = lastReadAt
        val isContinuous = last != null && endedAt - last <= maxReadGap
        val known = if (isContinuous) observations else emptyMap()
        observations = rows.associate { row -> row.key to observationOf(known[row.key], row, endedAt) }
        lastReadAt = endedAt
    }

    /** Returns whether [row] may be fenced, by a write conditional on its version. */
    @Synchronized
    public fun isExpired(row: Row): Boolean {
        val observation = observations[row.key] ?: return false
        val until = lastReadAt ?: return false
        return observation.version == row.version && until - observation.since >= leaseDuration
    }

    private fun observationOf(
        known: RowObservation?,
        row: Row,
        endedAt: Duration,
    ): RowObservation = if (known?.version == row.version) known else RowObservation(row.version, endedAt)

    private data class RowObservation(
        val version: Long,
        val since: Duration,
    )
}
