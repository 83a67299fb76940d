package org.chestnutloom.edge.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import org.chestnutloom.common.log.event
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.edge.codec.CborCodec
import org.chestnutloom.edge.store.ChangeFailure
import org.chestnutloom.edge.store.RowChange
import org.chestnutloom.edge.store.RowCondition
import org.chestnutloom.edge.store.RowKey
import org.chestnutloom.edge.store.RowPut
import org.chestnutloom.edge.store.RowStore
import org.chestnutloom.edge.store.StoredRow
import org.chestnutloom.id.GatewayId
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Writes and removes the rows by which gateways discover each other; confined to the event loop. */
internal class MemberRegistry(
    private val store: RowStore,
    private val self: Member,
    private val codec: CborCodec<Member>,
) {
    private val key = keyOf(self.gateway)
    private var shouldBeRegistered = true
    private var isWriting = false

    /** The version of this gateway's row as last written, or 0 if the store has not acknowledged a write. */
    private var writtenVersion = 0L

    /** Writes this gateway's row, retrying until the store accepts it. Does nothing after [unregister]. */
    suspend fun register() {
        if (isWriting) return
        isWriting = true
        try {
            while (shouldBeRegistered && !write()) delay(RETRY_DELAY)
        } finally {
            isWriting = false
        }
    }

    private suspend fun write(): Boolean {
        val result = store.change(RowChange(puts = listOf(RowPut(key, codec.encode(self)))))
        result.onRight { writtenVersion = it }
        result.onRight { logger.event("registered", "gateway" to self.gateway, "incarnation" to self.incarnation) }
        result.onLeft { logger.warnEvent("register_failed", "cause" to it) }
        return result.isRight()
    }

    /**
     * Removes this gateway's row, unless another incarnation has written it.
     *
     * @param readVersion the version of the row as last read, or null if it was not read yet
     */
    suspend fun unregister(readVersion: Long?) {
        shouldBeRegistered = false
        val changed = remove(self, maxOf(readVersion ?: 0, writtenVersion)) ?: return
        if (isOwn(changed)) remove(self, changed.version)
    }

    private fun isOwn(row: StoredRow): Boolean {
        val value = row.value ?: return false
        return codec.decode(value).getOrNull()?.incarnation == self.incarnation
    }

    /**
     * Removes the row of [member], a failed gateway, unless the row has changed since [version].
     *
     * Returns the row if it has changed.
     */
    suspend fun remove(
        member: Member,
        version: Long,
    ): StoredRow? {
        val row = keyOf(member.gateway)
        val change = RowChange(conditions = listOf(RowCondition(row, version)), removals = listOf(row))
        val failure = store.change(change).leftOrNull()
        if (failure != null) return changedRow(failure, row)
        logger.event("unregistered", "gateway" to member.gateway, "incarnation" to member.incarnation)
        return null
    }

    private fun changedRow(
        failure: ChangeFailure,
        key: RowKey,
    ): StoredRow? =
        when (failure) {
            is ChangeFailure.Conflict -> failure.current.firstOrNull { it.key == key }
            is ChangeFailure.Failed -> null.also { logger.warnEvent("unregister_failed", "cause" to failure.cause) }
        }

    private fun keyOf(gateway: GatewayId): RowKey = RowKey(TABLE, "", gateway.value)

    companion object {
        /** The table with one row per gateway. */
        const val TABLE: String = "gateways"
        private val RETRY_DELAY = 300.milliseconds
    }
}
