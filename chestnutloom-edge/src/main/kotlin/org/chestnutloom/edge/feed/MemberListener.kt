package org.chestnutloom.edge.feed

import io.github.oshai.kotlinlogging.KotlinLogging
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.edge.codec.CborCodec
import org.chestnutloom.edge.fleet.Fleet
import org.chestnutloom.edge.fleet.Member
import org.chestnutloom.edge.fleet.RegisteredMember
import org.chestnutloom.edge.store.StoredRow
import org.chestnutloom.id.GatewayId

private val logger = KotlinLogging.logger {}

/** Applies changes of the table of registered gateways to the fleet. */
internal class MemberListener(
    private val codec: CborCodec<Member>,
    private val fleet: Fleet,
) : TableListener {
    override fun onSnapshot(rows: List<StoredRow>) {
        fleet.replaceAll(rows.mapNotNull(::memberOf))
    }

    override fun onChange(rows: List<StoredRow>) {
        rows.forEach { row ->
            if (row.value == null) fleet.remove(GatewayId(row.key.key)) else memberOf(row)?.let(fleet::update)
        }
    }

    private fun memberOf(row: StoredRow): RegisteredMember? {
        val value = row.value ?: return null
        return codec
            .decode(value)
            .onLeft { logger.warnEvent("member_malformed", "gateway" to row.key.key, "detail" to it.detail) }
            .map { RegisteredMember(it, row.version) }
            .getOrNull()
    }
}
