package org.chestnutloom.cli.store

import org.chestnutloom.config.ConfigHead
import org.chestnutloom.id.GatewayId
import org.chestnutloom.lease.LeaseRecord
import org.chestnutloom.lease.LeaseState
import kotlin.time.Duration

/**
 * Determines which gateways have not applied a change yet.
 *
 * Once some gateway has applied the change, a gateway whose lease row was not written for longer than the lease is no
 * longer outstanding, because it may act only while no other gateway has read the table service since that write.
 * Before that, an expired lease does not count: all gateways may be disconnected from the table service and still serve
 * requests with their old versions.
 */
internal class RolloutTracker(
    private val wanted: ConfigHead,
    private val lease: Duration,
) {
    private val lastWrites = mutableMapOf<String, LeaseWrite>()

    /** Records the lease rows read at [now] and returns the gateways that are still outstanding. */
    fun outstanding(
        rows: List<Pair<Long, LeaseRecord>>,
        now: Duration,
    ): List<String> {
        rows.forEach { (rowVersion, record) -> recordWrite(record.id, rowVersion, now) }
        val live = rows.map { (_, record) -> record }.filter { it.state != LeaseState.FENCED }
        val (current, others) = live.partition { hasApplied(it) }
        val pending = if (current.isEmpty()) others else others.filterNot { isLeaseExpired(it.id, now) }
        return pending.map { it.id.value }
    }

    private fun recordWrite(
        gateway: GatewayId,
        rowVersion: Long,
        now: Duration,
    ) {
        if (lastWrites[gateway.value]?.rowVersion != rowVersion) lastWrites[gateway.value] = LeaseWrite(rowVersion, now)
    }

    private fun hasApplied(record: LeaseRecord): Boolean =
        record.configVersion >= wanted.configVersion && record.keyVersion >= wanted.keyVersion

    private fun isLeaseExpired(
        gateway: GatewayId,
        now: Duration,
    ): Boolean = now - lastWrites.getValue(gateway.value).seenAt > lease

    private class LeaseWrite(
        val rowVersion: Long,
        val seenAt: Duration,
    )
}
