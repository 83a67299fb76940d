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
        result.onRight { logger.event("registered", "gateway" to self.gateway, "incarnation" to self.incarnation) }
        result.onLeft { logger.warnEvent("register_failed", "cause" to it) }
        return result.isRight()
    }

    /** Removes this gateway's row unless it has changed since [version]. */
    suspend fun unregister(version: Long) {
        shouldBeRegistered = false
        remove(self, version)
    }

    /** Removes the row of [member], a failed gateway, unless the row has changed since [version]. */
    suspend fun remove(
        member: Member,
        version: Long,
    ) {
        val row = keyOf(member.gateway)
        val change = RowChange(conditions = listOf(RowCondition(row, version)), removals = listOf(row))
        store.change(change).fold(
            { if (it is ChangeFailure.Failed) logger.warnEvent("unregister_failed", "cause" to it.cause) },
            { logger.event("unregistered", "gateway" to member.gateway, "incarnation" to member.incarnation) },
        )
    }

    private fun keyOf(gateway: GatewayId): RowKey = RowKey(TABLE, "", gateway.value)

    companion object {
        /** The table with one row per gateway. */
        const val TABLE: String = "gateways"
        private val RETRY_DELAY = 300.milliseconds
    }
}
