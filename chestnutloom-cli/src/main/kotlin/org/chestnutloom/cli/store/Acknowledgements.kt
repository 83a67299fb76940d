package org.chestnutloom.cli.store

import org.chestnutloom.config.ConfigHead
import org.chestnutloom.lease.LeaseRecord
import org.chestnutloom.lease.LeaseState
import kotlin.time.Duration

/**
 * Tells which gateways still have to put a change in force.
 *
 * A gateway whose lease row was not written for longer than the lease cannot act, and what it does next needs a new
 * proof that it is current, so it is not waited for.
 */
internal class Acknowledgements(
    private val wanted: ConfigHead,
    private val lease: Duration,
) {
    private val lastWrites = mutableMapOf<String, Pair<Long, Duration>>()

    /** Takes note of the lease rows as read at [now], and returns the gateways that are still outstanding. */
    fun outstanding(
        rows: List<Pair<Long, LeaseRecord>>,
        now: Duration,
    ): List<String> =
        rows
            .filter { (rowVersion, record) -> isOutstanding(rowVersion, record, now) }
            .map { (_, record) -> record.id.value }

    private fun isOutstanding(
        rowVersion: Long,
        record: LeaseRecord,
        now: Duration,
    ): Boolean {
        val known = lastWrites[record.id.value]
        if (known?.first != rowVersion) lastWrites[record.id.value] = rowVersion to now
        val unchangedFor = now - lastWrites.getValue(record.id.value).second
        val isInForce = record.configVersion >= wanted.configVersion && record.keyVersion >= wanted.keyVersion
        return record.state != LeaseState.FENCED && !isInForce && unchangedFor <= lease
    }
}
