package org.chestnutloom.edge.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import org.chestnutloom.edge.codec.CborCodec
import org.chestnutloom.edge.store.RowChange
import org.chestnutloom.edge.store.RowKey
import org.chestnutloom.edge.store.RowPut
import org.chestnutloom.edge.store.RowStore
import org.chestnutloom.platform.log.event
import org.chestnutloom.platform.log.warnEvent
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Writes this gateway's row, by which the others find it. */
internal class Registration(
    private val store: RowStore,
    private val self: Member,
    private val codec: CborCodec<Member>,
) {
    private val key = RowKey(TABLE, "", self.gateway.value)

    /** Writes the row, trying until the store has taken it. */
    suspend fun register() {
        while (true) {
            val result = store.change(RowChange(puts = listOf(RowPut(key, codec.encode(self)))))
            result.onRight { logger.event("registered", "gateway" to self.gateway, "incarnation" to self.incarnation) }
            if (result.isRight()) return
            result.onLeft { logger.warnEvent("register_failed", "cause" to it) }
            delay(RETRY_PAUSE)
        }
    }

    companion object {
        /** The table with one row for each gateway. */
        const val TABLE: String = "gateways"
        private val RETRY_PAUSE = 300.milliseconds
    }
}
