package org.chestnutloom.edge.fleet

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import org.chestnutloom.id.GatewayId
import java.nio.ByteBuffer
import java.security.MessageDigest

/**
 * Places keys on gateways by consistent hashing: gateways with the same members agree on the placement, and a change of
 * one member moves only the keys next to it.
 */
internal class HashRing(
    members: Set<GatewayId>,
) {
    private val entries = members.map { Entry(positionOf(it.value), it) }.sortedBy { it.position }
    private val positions = entries.map { it.position }

    /** The number of gateways. */
    val size: Int
        get() = entries.size

    /** Whether [gateway] is one of the gateways. */
    operator fun contains(gateway: GatewayId): Boolean = entries.any { it.gateway == gateway }

    /** Returns the first [count] gateways that follow [key] on the ring; all gateways if there are fewer. */
    fun successorsOf(
        key: String,
        count: Int,
    ): ImmutableList<GatewayId> {
        val found = positions.binarySearch(positionOf(key))
        val first = if (found >= 0) found else -found - 1
        return List(count.coerceAtMost(size)) { at(first + it) }.toImmutableList()
    }

    /** Returns the gateways within [distance] positions before and after [member], without [member] itself. */
    fun neighborsOf(
        member: GatewayId,
        distance: Int,
    ): Set<GatewayId> {
        val index = entries.indexOfFirst { it.gateway == member }
        return (1..distance).flatMap { listOf(at(index - it), at(index + it)) }.toSet() - member
    }

    /** Returns all other gateways in the order in which they follow [member] on the ring. */
    fun othersAfter(member: GatewayId): ImmutableList<GatewayId> {
        val index = entries.indexOfFirst { it.gateway == member }
        return List(size - 1) { at(index + 1 + it) }.toImmutableList()
    }

    private fun at(index: Int): GatewayId = entries[index.mod(size)].gateway

    private class Entry(
        val position: Long,
        val gateway: GatewayId,
    )

    private companion object {
        private fun positionOf(text: String): Long =
            ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray())).getLong()
    }
}
