package org.chestnutloom.fakes.proxy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Applies the active fault of a link to one connection.
 *
 * @property number sequence number of the connection on its link, starting at 1
 */
internal class ConnectionFaults(
    private val link: LinkFaultState,
    private val number: Int,
) {
    private val lock = Any()
    private val openGeneration = link.active.generation
    private val blackholed = mutableSetOf<Direction>()
    private val passedBytes = mutableMapOf<Direction, Long>()
    private var frozen = false
    private var generation = openGeneration
    private var isApplied = false
    private var matcher = TextMatcher(link.active.fault.match)

    /** Returns whether the connection must be closed before it transfers any bytes. */
    fun closesImmediately(): Boolean = synchronized(lock) { closesOn(refresh()) }

    /** Applies a new fault of the link immediately; returns whether the connection must be closed. */
    fun onFaultChanged(): Boolean =
        synchronized(lock) {
            val fault = refresh()
            val freezes = fault.mode == LinkFaultMode.SILENT && fault.isImmediate
            if (freezes && applyOnce()) frozen = true
            closesOn(fault)
        }

    fun isFrozen(): Boolean = synchronized(lock) { frozen }

    fun isBlackholed(direction: Direction): Boolean = synchronized(lock) { direction in blackholed }

    /** Returns what to do with [chunk], which was read in [direction]. */
    fun decide(
        direction: Direction,
        chunk: ByteArray,
    ): ChunkAction =
        synchronized(lock) {
            val fault = refresh()
            if (direction == Direction.TO_TARGET) matcher.feed(chunk)
            when {
                frozen -> ChunkAction.Freeze(NO_BYTES)
                direction in blackholed -> ChunkAction.Forward(NO_BYTES)
                !fault.appliesTo(direction) || !matcher.hasMatched -> ChunkAction.Forward(chunk)
                else -> decideWithFault(fault, direction, chunk)
            }
        }

    private fun refresh(): LinkFault {
        val active = link.active
        if (active.generation != generation) {
            generation = active.generation
            isApplied = false
            passedBytes.clear()
            matcher = TextMatcher(active.fault.match)
        }
        return active.fault
    }

    private fun closesOn(fault: LinkFault): Boolean =
        fault.mode == LinkFaultMode.CUT && fault.isImmediate && applyOnce()

    private fun decideWithFault(
        fault: LinkFault,
        direction: Direction,
        chunk: ByteArray,
    ): ChunkAction {
        val passed = passedBytes[direction] ?: 0
        val headSize = (fault.afterBytes - passed).coerceIn(0, chunk.size.toLong()).toInt()
        passedBytes[direction] = passed + headSize
        if (headSize == chunk.size || !appliesNow(fault)) return ChunkAction.Forward(chunk)
        return applyFault(fault, direction, chunk, headSize)
    }

    private fun appliesNow(fault: LinkFault): Boolean =
        when (fault.mode) {
            LinkFaultMode.PASS -> false
            LinkFaultMode.SILENT -> openGeneration != generation && applyOnce()
            LinkFaultMode.REORDER_CONNECTIONS -> number % 2 == 1 && applyOnce()
            LinkFaultMode.DUPLICATE -> link.tryApply(generation)
            else -> applyOnce()
        }

    private fun applyOnce(): Boolean {
        if (!isApplied) isApplied = link.tryApply(generation)
        return isApplied
    }

    private fun applyFault(
        fault: LinkFault,
        direction: Direction,
        chunk: ByteArray,
        headSize: Int,
    ): ChunkAction {
        val head = chunk.copyOf(headSize)
        return when (fault.mode) {
            LinkFaultMode.PASS -> ChunkAction.Forward(chunk)
            LinkFaultMode.CUT -> ChunkAction.Close(head, Duration.ZERO)
            LinkFaultMode.DROP_REPLY -> ChunkAction.Close(head, fault.delayMs.milliseconds)
            LinkFaultMode.SILENT -> freeze(head)
            LinkFaultMode.DUPLICATE -> ChunkAction.Forward(chunk + chunk)
            LinkFaultMode.DELAY, LinkFaultMode.REORDER_CONNECTIONS -> delayed(chunk, fault)
            LinkFaultMode.CUT_TO_TARGET, LinkFaultMode.CUT_TO_CALLER -> discard(head, direction)
        }
    }

    private fun freeze(head: ByteArray): ChunkAction {
        frozen = true
        return ChunkAction.Freeze(head)
    }

    private fun delayed(
        chunk: ByteArray,
        fault: LinkFault,
    ): ChunkAction = ChunkAction.Forward(chunk, fault.delayMs.milliseconds)

    private fun discard(
        head: ByteArray,
        direction: Direction,
    ): ChunkAction {
        blackholed += direction
        return ChunkAction.Forward(head)
    }

    private companion object {
        val NO_BYTES = ByteArray(0)
    }
}
