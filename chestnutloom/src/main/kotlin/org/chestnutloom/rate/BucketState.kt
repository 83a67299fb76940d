package org.chestnutloom.rate

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * The state of a token bucket at one point in time. Immutable.
 *
 * Available and lent tokens together never exceed the capacity. A lent token counts against the capacity until it can
 * no longer be spent; otherwise it could be spent twice within one window, by the borrower and after a refill here.
 *
 * @property atNanos the time of this state, in nanoseconds of the monotonic clock
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

    /** Returns the state at [nowNanos], with expired loans removed and tokens accrued up to the free capacity. */
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

    /** Returns this state with [nanoTokens], limited to the free capacity. */
    fun withTokens(nanoTokens: Long): BucketState {
        val freeCapacity = maxOf(0, capacityNanoTokens - lentNanoTokens)
        return copy(nanoTokens = minOf(nanoTokens, freeCapacity))
    }

    private fun accruedTo(untilNanos: Long): BucketState {
        val elapsedNanos = untilNanos - atNanos
        if (elapsedNanos <= 0) return this
        val accrued = minOf(elapsedNanos * nanoTokensPerNano, capacityNanoTokens.toDouble()).toLong()
        return copy(atNanos = untilNanos).withTokens(nanoTokens + accrued)
    }
}
