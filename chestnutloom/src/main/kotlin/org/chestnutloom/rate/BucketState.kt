package org.chestnutloom.rate

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * The state of a token bucket at one moment.
 *
 * Tokens and lent tokens together never exceed the capacity: a lent token occupies its room until it can no longer be
 * spent, so that it cannot be spent twice within one window, once by the borrower and once refilled here.
 *
 * @property atNanos the moment, in nanoseconds of the monotonic clock
 */
internal data class BucketState(
    val atNanos: Long,
    val nanoTokens: Long,
    val capacityNanoTokens: Long,
    val nanoTokensPerNano: Double,
    val loans: PersistentList<Loan> = persistentListOf(),
) {
    val lentNanoTokens: Long
        get() = loans.sumOf { it.nanoTokens }

    /** Returns the state at [nowNanos]: loans that ended are gone, and tokens have accrued up to the room there was. */
    fun advancedTo(nowNanos: Long): BucketState {
        if (nowNanos <= atNanos) return this
        var state = this
        while (true) {
            val ended = state.loans.filter { it.endNanos <= nowNanos }.minByOrNull { it.endNanos } ?: break
            state = state.accruedTo(ended.endNanos).copy(loans = state.loans.remove(ended))
        }
        return state.accruedTo(nowNanos)
    }

    fun resized(
        capacityNanoTokens: Long,
        nanoTokensPerNano: Double,
    ): BucketState =
        copy(capacityNanoTokens = capacityNanoTokens, nanoTokensPerNano = nanoTokensPerNano).withTokens(nanoTokens)

    /** Returns this state with [nanoTokens], or as many as there is room for. */
    fun withTokens(nanoTokens: Long): BucketState {
        val room = maxOf(0, capacityNanoTokens - lentNanoTokens)
        return copy(nanoTokens = minOf(nanoTokens, room))
    }

    private fun accruedTo(untilNanos: Long): BucketState {
        val elapsedNanos = untilNanos - atNanos
        if (elapsedNanos <= 0) return this
        val accrued = minOf(elapsedNanos * nanoTokensPerNano, capacityNanoTokens.toDouble()).toLong()
        return copy(atNanos = untilNanos).withTokens(nanoTokens + accrued)
    }
}
