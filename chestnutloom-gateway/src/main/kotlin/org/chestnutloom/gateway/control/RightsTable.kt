package org.chestnutloom.gateway.control

import arrow.core.Either
import arrow.core.raise.either
import kotlinx.coroutines.sync.withLock
import org.chestnutloom.gateway.GatewaySettings
import org.chestnutloom.lease.GatewayLease
import org.chestnutloom.lease.LeaseFailure
import org.chestnutloom.lease.LeaseRecord
import org.chestnutloom.lease.LeaseState
import org.chestnutloom.rate.RateLimit
import org.chestnutloom.rate.RightsHolder
import org.chestnutloom.rate.RightsRecord
import org.chestnutloom.store.Condition
import org.chestnutloom.store.Row
import org.chestnutloom.store.RowWrite
import org.chestnutloom.store.TableStore
import org.chestnutloom.store.decodeOrNull
import org.chestnutloom.store.rowJson

/** Reads and writes rate rights rows under this gateway's lease. */
internal class RightsTable(
    private val settings: GatewaySettings,
    private val lease: GatewayLease,
    private val table: TableStore,
    private val fleet: FleetDirectory,
) {
    /** Reads the row, claims the shares that no live gateway holds, and applies the result. */
    suspend fun refresh(
        rights: AccountRights,
        limit: RateLimit,
    ): Either<LeaseFailure, Unit> =
        rights.rowMutex.withLock {
            either {
                val row = read(rights).bind()
                val record = row?.decodeOrNull<RightsRecord>() ?: RightsRecord.unused(limit)
                val ended = endedHolders(record).bind()
                val claimed = record.claimedBy(rights.held.holder, limit) { it in ended }
                if (claimed == record && row != null) {
                    applyRecord(rights, record, row.version)
                } else {
                    write(rights, row?.version ?: Condition.ABSENT, claimed).bind()
                }
            }
        }

    /** Moves [permille] of this gateway's share to [receiver], unless the share is smaller or backs current loans. */
    suspend fun transfer(
        rights: AccountRights,
        receiver: RightsHolder,
        permille: Int,
    ): Either<LeaseFailure, Unit> =
        rights.rowMutex.withLock {
            either {
                val row = read(rights).bind() ?: return@either
                val record = row.decodeOrNull<RightsRecord>() ?: return@either
                applyRecord(rights, record, row.version)
                val transfer = rights.held.beginTransfer(permille) ?: return@either
                val moved = record.moved(rights.held.holder, receiver, transfer.sharePermille, transfer.milliTokens)
                write(rights, row.version, moved).onLeft { rights.held.cancelTransfer(transfer) }.bind()
            }
        }

    /** Returns this gateway's share and tokens to the pool, unless tokens of it are lent. */
    suspend fun release(rights: AccountRights): Either<LeaseFailure, Unit> =
        rights.rowMutex.withLock {
            either {
                val row = read(rights).bind() ?: return@either
                val record = row.decodeOrNull<RightsRecord>() ?: return@either
                applyRecord(rights, record, row.version)
                val transfer = rights.held.beginTransfer(rights.held.sharePermille) ?: return@either
                val released = record.releasedBy(rights.held.holder, transfer.milliTokens)
                write(rights, row.version, released).onLeft { rights.held.cancelTransfer(transfer) }.bind()
            }
        }

    private suspend fun read(rights: AccountRights): Either<LeaseFailure, Row?> =
        table
            .read(listOf(rowKey(rights)))
            .map { it.firstOrNull() }
            .mapLeft { LeaseFailure.StoreUnavailable(it.toString()) }

    /** Returns the holders whose lease has ended, according to lease rows that are read after [record]. */
    private suspend fun endedHolders(record: RightsRecord): Either<LeaseFailure, Set<RightsHolder>> =
        either {
            val candidates = record.holdings.map { it.holder }.filter { fleet.hasLeaseEnded(it) }
            if (candidates.isEmpty()) return@either emptySet()
            val keys = candidates.map { LeaseRecord.rowKey(settings.environment, it.gateway) }.distinct()
            val rows = table.read(keys).mapLeft { LeaseFailure.StoreUnavailable(it.toString()) }.bind()
            val leases = rows.mapNotNull { it.decodeOrNull<LeaseRecord>() }.associateBy { it.id }
            candidates.filter { holder -> leases[holder.gateway]?.let { hasEnded(holder, it) } ?: false }.toSet()
        }

    private fun hasEnded(
        holder: RightsHolder,
        current: LeaseRecord,
    ): Boolean = current.incarnation != holder.incarnation || current.state == LeaseState.FENCED

    private suspend fun write(
        rights: AccountRights,
        version: Long,
        record: RightsRecord,
    ): Either<LeaseFailure, Unit> {
        val key = rowKey(rights)
        val writes = listOf(RowWrite(key, rowJson.encodeToString(record)))
        return lease.write(listOf(Condition(key, version)), writes).map { rows ->
            applyRecord(rights, record, rows.first { it.key == key }.version)
        }
    }

    private fun applyRecord(
        rights: AccountRights,
        record: RightsRecord,
        version: Long,
    ) {
        rights.record = record
        rights.held.apply(record, version)
    }

    private fun rowKey(rights: AccountRights): String = RightsRecord.rowKey(settings.environment, rights.account)
}
