package org.chestnutloom.lease

import org.chestnutloom.store.Row
import kotlin.time.Duration

/** Returns an observer that calls a lease expired after it stood unchanged for [lease]. */
public fun leaseObserver(
    lease: Duration,
    maxReadGap: Duration,
): LeaseObserver = LeaseObserver(lease, maxReadGap)

/**
 * Watches the lease rows of other gateways and finds those that may be fenced.
 *
 * A row has expired when it stood unchanged for the whole lease on the observer's monotonic clock while the store could
 * be read throughout. A pause of more than the maximal gap between two reads starts all observations anew: in a store
 * outage holders go on as long as no other gateway reads the store, and rely on an observation of a full lease
 * afterwards.
 */
public class LeaseObserver internal constructor(
    private val lease: Duration,
    private val maxReadGap: Duration,
) {
    private var seen = emptyMap<String, SeenRow>()
    private var lastReadAt: Duration? = null

    /** Takes note of all lease rows as a read returned them that ended at [endedAt]. */
    @Synchronized
    public fun observe(
        rows: List<Row>,
        endedAt: Duration,
    ) {
        val last = lastReadAt
        val isContinuous = last != null && endedAt - last <= maxReadGap
        val known = if (isContinuous) seen else emptyMap()
        seen = rows.associate { row -> row.key to seenRow(known[row.key], row, endedAt) }
        lastReadAt = endedAt
    }

    /** Tells whether [row] may be fenced by a write that requires its version. */
    @Synchronized
    public fun isExpired(row: Row): Boolean {
        val observation = seen[row.key] ?: return false
        val until = lastReadAt ?: return false
        return observation.version == row.version && until - observation.since >= lease
    }

    private fun seenRow(
        known: SeenRow?,
        row: Row,
        endedAt: Duration,
    ): SeenRow = if (known?.version == row.version) known else SeenRow(row.version, endedAt)

    private data class SeenRow(
        val version: Long,
        val since: Duration,
    )
}
