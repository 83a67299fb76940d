package org.chestnutloom.fakes.proxy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides what happens to the bytes of one connection.
 *
 * @property number counts the connections of the link, from 1
 */
internal class ConnectionFaults(
    private val link: LinkFaults,
    private val number: Int,
) {
    private val lock = Any()
    private val openedIn = link.active.generation
    private val holed = mutableSetOf<Direction>()
    private val passedBytes = mutableMapOf<Direction, Long>()
    private var frozen = false
    private var generation = openedIn
    private var taken = false
    private var matcher = TextMatcher(link.active.fault.match)

    /** Tells whether the connection closes before it carries anything. */
    fun closesAtOnce(): Boolean = synchronized(lock) { closesNow(refresh()) }

    /** Lets a new fault hold before the connection carries anything more; tells whether the connection closes. */
    fun faultChanged(): Boolean =
        synchronized(lock) {
            val fault = refresh()
            val freezes = fault.mode == LinkFaultMode.SILENT && fault.isImmediate
            if (freezes && takeOnce()) frozen = true
            closesNow(fault)
        }

    fun isFrozen(): Boolean = synchronized(lock) { frozen }

    fun hasHole(direction: Direction): Boolean = synchronized(lock) { direction in holed }

    /** Decides about [piece], which goes in [direction]. */
    fun decide(
        direction: Direction,
        piece: ByteArray,
    ): PieceAction =
        synchronized(lock) {
            val fault = refresh()
            if (direction == Direction.TO_TARGET) matcher.feed(piece)
            when {
                frozen -> PieceAction.Freeze(NOTHING)
                direction in holed -> PieceAction.Forward(NOTHING)
                !fault.holdsFor(direction) || !matcher.hasMatched -> PieceAction.Forward(piece)
                else -> decideUnderFault(fault, direction, piece)
            }
        }

    private fun refresh(): LinkFault {
        val active = link.active
        if (active.generation != generation) {
            generation = active.generation
            taken = false
            passedBytes.clear()
            matcher = TextMatcher(active.fault.match)
        }
        return active.fault
    }

    private fun closesNow(fault: LinkFault): Boolean =
        fault.mode == LinkFaultMode.CUT && fault.isImmediate && takeOnce()

    private fun decideUnderFault(
        fault: LinkFault,
        direction: Direction,
        piece: ByteArray,
    ): PieceAction {
        val passed = passedBytes[direction] ?: 0
        val room = (fault.afterBytes - passed).coerceIn(0, piece.size.toLong()).toInt()
        passedBytes[direction] = passed + room
        if (room == piece.size || !isTaken(fault)) return PieceAction.Forward(piece)
        return act(fault, direction, piece, room)
    }

    private fun isTaken(fault: LinkFault): Boolean =
        when (fault.mode) {
            LinkFaultMode.PASS -> false
            LinkFaultMode.SILENT -> openedIn != generation && takeOnce()
            LinkFaultMode.REORDER_CONNECTIONS -> number % 2 == 1 && takeOnce()
            LinkFaultMode.DUPLICATE -> link.take(generation)
            else -> takeOnce()
        }

    private fun takeOnce(): Boolean {
        if (!taken) taken = link.take(generation)
        return taken
    }

    private fun act(
        fault: LinkFault,
        direction: Direction,
        piece: ByteArray,
        room: Int,
    ): PieceAction {
        val first = piece.copyOf(room)
        return when (fault.mode) {
            LinkFaultMode.PASS -> PieceAction.Forward(piece)
            LinkFaultMode.CUT -> PieceAction.Close(first, Duration.ZERO)
            LinkFaultMode.DROP_REPLY -> PieceAction.Close(first, fault.delayMs.milliseconds)
            LinkFaultMode.SILENT -> freeze(first)
            LinkFaultMode.DUPLICATE -> PieceAction.Forward(piece + piece)
            LinkFaultMode.DELAY, LinkFaultMode.REORDER_CONNECTIONS -> late(piece, fault)
            LinkFaultMode.CUT_TO_TARGET, LinkFaultMode.CUT_TO_CALLER -> swallow(first, direction)
        }
    }

    private fun freeze(first: ByteArray): PieceAction {
        frozen = true
        return PieceAction.Freeze(first)
    }

    private fun late(
        piece: ByteArray,
        fault: LinkFault,
    ): PieceAction = PieceAction.Forward(piece, fault.delayMs.milliseconds)

    private fun swallow(
        first: ByteArray,
        direction: Direction,
    ): PieceAction {
        holed += direction
        return PieceAction.Forward(first)
    }

    private companion object {
        val NOTHING = ByteArray(0)
    }
}
