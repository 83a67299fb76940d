package org.chestnutloom.gateway.control

import arrow.core.Either
import arrow.core.raise.either
import io.github.oshai.kotlinlogging.KotlinLogging
import org.chestnutloom.common.log.event
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.gateway.GatewaySettings
import org.chestnutloom.lease.GatewayLease
import org.chestnutloom.lease.LeaseRecord
import org.chestnutloom.lease.LeaseState
import org.chestnutloom.lease.leaseObserver
import org.chestnutloom.membership.SlotRecord
import org.chestnutloom.store.Condition
import org.chestnutloom.store.Row
import org.chestnutloom.store.RowWrite
import org.chestnutloom.store.StoreFailure
import org.chestnutloom.store.TableStore
import org.chestnutloom.store.rowJson
import org.chestnutloom.store.scanAll
import org.chestnutloom.time.Clock

private val logger = KotlinLogging.logger {}

/** Reads the slot, lease and drain rows of the fleet, and fences gateways whose lease has expired. */
internal class FleetWatcher(
    private val settings: GatewaySettings,
    private val clock: Clock,
    private val lease: GatewayLease,
    private val proof: FreshnessTracker,
    private val fleet: FleetDirectory,
    private val table: TableStore,
    private val slots: SlotTable,
) {
    private val observer = leaseObserver(settings.lease * DRIFT_ALLOWANCE, OutageRule.minReadAge(settings))

    /** Reads slots, leases and drains in this order, then fences; returns whether the reads succeeded. */
    suspend fun observe(): Boolean =
        readFleet().fold(
            {
                logger.warnEvent("fleet_read_failed", "cause" to it)
                false
            },
            {
                fenceExpired()
                true
            },
        )

    private suspend fun readFleet(): Either<StoreFailure, Unit> =
        either {
            val slotRows = table.scanAll(SlotRecord.prefix(settings.environment)).bind()
            slots.observeAll(slotRows)
            readLeases().bind()
            val prefix = "drain/${settings.environment}/"
            val drains = table.scanAll(prefix).bind()
            fleet.observeDrains(drains.map { it.key.removePrefix(prefix) }.toSet())
        }

    private suspend fun readLeases(): Either<StoreFailure, Unit> =
        either {
            val startedAt = clock.elapsed()
            val rows = table.scanAll(LeaseRecord.prefix(settings.environment)).bind()
            proof.readSucceeded()
            observer.observe(rows, clock.elapsed())
            fleet.observeLeases(rows, startedAt)
        }

    /**
     * Fences expired leases, but only while the VM list shows this gateway: only then can their holders probe it in an
     * outage before they extend their freshness proof.
     */
    private suspend fun fenceExpired() {
        if (!fleet.isListed) return
        val expired =
            fleet.leases.values.filter {
                it.record.id != settings.id && it.record.state != LeaseState.FENCED && observer.isExpired(it.row)
            }
        if (expired.isEmpty()) return
        expired.forEach { fence(it) }
        readLeases()
    }

    private suspend fun fence(expired: LeaseRow) {
        val fenced = expired.record.copy(state = LeaseState.FENCED)
        val condition = Condition(expired.row.key, expired.row.version)
        val write = RowWrite(expired.row.key, rowJson.encodeToString(fenced))
        lease.write(listOf(condition), listOf(write)).fold(
            { logger.warnEvent("fence_failed", "gateway" to fenced.id, "cause" to it) },
            { _: List<Row> -> logger.event("fenced", "gateway" to fenced.id, "incarnation" to fenced.incarnation) },
        )
    }

    private companion object {
        /** An observation lasts this factor longer than the lease, to allow for clock drift between VMs. */
        const val DRIFT_ALLOWANCE = 1.1
    }
}
