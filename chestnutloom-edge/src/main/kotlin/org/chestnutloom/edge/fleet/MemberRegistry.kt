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

/** The rows by which gateways find each other; used on the event loop only. */
internal class MemberRegistry(
    private val store: RowStore,
    private val self: Member,
    private val codec: CborCodec<Member>,
) {
    private val key = keyOf(self.gateway)
    private var isWanted = true
    private var isWriting = false

    /** Writes this gateway's row, trying until the store has taken it; does nothing once the gateway is being stopped. */
    suspend fun register() {
        if (isWriting) return
        isWriting = true
        try {
            while (isWanted && !write()) delay(RETRY_PAUSE)
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

    /** Removes this gateway's row if it still is that of this run, as it was written in [version]. */
    suspend fun unregister(version: Long) {
        isWanted = false
        remove(self, version)
    }

    /** Removes the row of [member], a gateway that is gone, unless it was written again since [version]. */
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
        /** The table with one row for each gateway. */
        const val TABLE: String = "gateways"
        private val RETRY_PAUSE = 300.milliseconds
    }
}
