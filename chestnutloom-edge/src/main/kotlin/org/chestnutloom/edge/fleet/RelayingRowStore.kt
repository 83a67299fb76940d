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
 * Reaches the platform's store by way of another gateway while the store does not serve this one.
 *
 * Changes that may have been applied are safe to send again: they carry the versions that they replace, or write rows
 * that only one gateway ever writes and always with the same value.
 */
internal class RelayingRowStore(
    private val own: RowStore,
    private val contact: StoreHealth,
    private val fleet: Fleet,
    private val links: PeerLinks,
) : RowStore {
    override suspend fun read(
        table: String,
        partition: String,
    ): Either<StoreFailure, RowSnapshot> {
        if (isWorthTrying()) {
            own.read(table, partition).onRight { return it.right() }
        }
        return when (val reply = ask(ReadStore(table, partition))) {
            is StoreReply.Rows -> RowSnapshot(rowsFromWire(reply.rows), reply.version).right()
            is StoreReply.Failed -> failureFromWire(reply).left()
            else -> NO_HELPER.left()
        }
    }

    override suspend fun change(change: RowChange): Either<ChangeFailure, Long> {
        if (isWorthTrying()) {
            val result = own.change(change)
            if (result.leftOrNull() !is ChangeFailure.Failed || helper() == null) return result
        }
        return when (val reply = ask(toWire(change))) {
            is StoreReply.Rows -> reply.version.right()
            is StoreReply.Conflict -> ChangeFailure.Conflict(rowsFromWire(reply.current)).left()
            is StoreReply.Failed -> ChangeFailure.Failed(failureFromWire(reply)).left()
            null -> ChangeFailure.Failed(NO_HELPER).left()
        }
    }

    /** Watches by itself, and while that fails reads the table through another gateway now and then. */
    override suspend fun watch(
        table: String,
        version: Long,
        wait: Duration,
    ): Either<WatchFailure, RowSnapshot> {
        val result = own.watch(table, version, wait)
        val hasFailed = result.leftOrNull() is WatchFailure.Failed
        if (!hasFailed || helper() == null) return result
        delay(RELAYED_WATCH_PAUSE)
        // The whole table has to be read again, since removed rows do not show in a read.
        return WatchFailure.HistoryLost.left()
    }

    /** While the store is away, a call now and then still goes to it, so that its return is noticed. */
    private fun isWorthTrying(): Boolean {
        if (!contact.isFailing) return true
        if (helper() == null && !contact.isUnavailable) return true
        return contact.claimProbe()
    }

    private suspend fun ask(request: LinkRequest): StoreReply? {
        val helper = helper() ?: return null
        val reply = links.request(helper.member, request, ASK_TIMEOUT)
        reply.onLeft { logger.event("relay_failed", "gateway" to helper.member.gateway, "cause" to it) }
        return reply.getOrNull() as? StoreReply
    }

    /** Returns a gateway that lately had an answer of the store, if there is one. */
    private fun helper(): Peer? =
        fleet.peers
            .filter { !it.isSilent && it.lastHeartbeat?.reachesStore == true }
            .randomOrNull()

    private companion object {
        private val NO_HELPER = StoreFailure.Unavailable("neither this gateway nor another one reaches the store")
        private val ASK_TIMEOUT = 1_200.milliseconds
        private val RELAYED_WATCH_PAUSE = 300.milliseconds
    }
}
