package org.chestnutloom.edge.fleet

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import org.chestnutloom.common.log.event
import org.chestnutloom.edge.store.ChangeFailure
import org.chestnutloom.edge.store.RowChange
import org.chestnutloom.edge.store.RowSnapshot
import org.chestnutloom.edge.store.RowStore
import org.chestnutloom.edge.store.StoreHealth
import org.chestnutloom.edge.store.StoreReachability
import org.chestnutloom.edge.store.StoredRow
import org.chestnutloom.edge.store.WatchFailure
import org.chestnutloom.edge.store.failureFromWire
import org.chestnutloom.edge.store.rowsFromWire
import org.chestnutloom.edge.store.toWire
import org.chestnutloom.store.StoreFailure
import org.chestnutloom.wire.message.LinkRequest
import org.chestnutloom.wire.message.ReadStore
import org.chestnutloom.wire.message.StoreReply
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * Accesses the platform's store through another gateway while the store is unavailable to this one.
 *
 * Retrying a change with an unknown outcome is safe: it is conditional on the row versions that it replaces, or writes
 * rows that only one gateway ever writes, always with the same value.
 */
internal class RelayingRowStore(
    private val direct: RowStore,
    private val health: StoreHealth,
    private val fleet: Fleet,
    private val links: PeerLinks,
) : RowStore,
    StoreReachability {
    override fun isReachable(): Boolean = !health.isUnavailable || relayPeer() != null

    override suspend fun read(
        table: String,
        partition: String,
    ): Either<StoreFailure, RowSnapshot> {
        if (shouldTryDirect()) {
            direct.read(table, partition).onRight { return it.right() }
        }
        return readViaPeers(table, partition)
    }

    /** Reads [partition] in pages. Its version is that of the first page, so that a watch shows all later changes. */
    private suspend fun readViaPeers(
        table: String,
        partition: String,
    ): Either<StoreFailure, RowSnapshot> {
        val rows = ArrayList<StoredRow>()
        var version: Long? = null
        while (true) {
            val page = requestViaPeer(ReadStore(table, partition, rows.lastOrNull()?.key?.key))
            if (page is StoreReply.Failed) return failureFromWire(page).left()
            if (page !is StoreReply.Rows) return NO_RELAY_PEER.left()
            rows += rowsFromWire(page.rows)
            val firstVersion = version ?: page.version.also { version = it }
            if (!page.hasMore) return RowSnapshot(rows, firstVersion).right()
            if (page.rows.isEmpty()) return EMPTY_PAGE.left()
        }
    }

    override suspend fun change(change: RowChange): Either<ChangeFailure, Long> {
        if (shouldTryDirect()) {
            val result = direct.change(change)
            if (result.leftOrNull() !is ChangeFailure.Failed || relayPeer() == null) return result
        }
        return when (val reply = requestViaPeer(toWire(change))) {
            is StoreReply.Rows -> reply.version.right()
            is StoreReply.Conflict -> ChangeFailure.Conflict(rowsFromWire(reply.current)).left()
            is StoreReply.Failed -> ChangeFailure.Failed(failureFromWire(reply)).left()
            null -> ChangeFailure.Failed(NO_RELAY_PEER).left()
        }
    }

    /** Watches the store directly. While that fails, makes the caller read the table again through another gateway. */
    override suspend fun watch(
        table: String,
        version: Long,
        wait: Duration,
    ): Either<WatchFailure, RowSnapshot> {
        val result = direct.watch(table, version, wait)
        val hasFailed = result.leftOrNull() is WatchFailure.Failed
        if (!hasFailed || relayPeer() == null) return result
        delay(RELAYED_WATCH_INTERVAL)
        // Relayed reads do not show removals, so the caller has to read the whole table again.
        return WatchFailure.HistoryLost.left()
    }

    /** While the store is unavailable, an occasional call still goes to it directly, to detect its recovery. */
    private fun shouldTryDirect(): Boolean {
        if (!health.isFailing) return true
        if (relayPeer() == null && !health.isUnavailable) return true
        return health.claimProbe()
    }

    private suspend fun requestViaPeer(request: LinkRequest): StoreReply? {
        val relayPeer = relayPeer() ?: return null
        val reply = links.request(relayPeer.member, request, RELAY_TIMEOUT)
        reply.onLeft { logger.event("relay_failed", "gateway" to relayPeer.member.gateway, "cause" to it) }
        return reply.getOrNull() as? StoreReply
    }

    /** Returns one of the next gateways that have recently reached the store, or null. */
    private fun relayPeer(): Peer? =
        fleet.peersInRingOrder
            .filter { !it.isUnresponsive && it.state?.reachesStore == true }
            .take(RELAY_PEERS)
            .randomOrNull()

    private companion object {
        private val NO_RELAY_PEER =
            StoreFailure.Unavailable("neither this gateway nor any other gateway reaches the store")

        private val EMPTY_PAGE = StoreFailure.Malformed("a page of another gateway has no rows, but more follow")

        /** More than one, so that a call that is retried usually takes another way. */
        private const val RELAY_PEERS = 3
        private val RELAY_TIMEOUT = 1_200.milliseconds
        private val RELAYED_WATCH_INTERVAL = 300.milliseconds
    }
}
