package org.chestnutloom.gateway.call

/** Limits the repeats of idempotent calls to a share of first sendings. */
internal interface RetryGate {
    /** Takes note of a first sending when [ratio] repeats are allowed for each. */
    fun firstSending(ratio: Double)

    /** Takes the right to one repeat, or returns false when there is none. */
    fun tryRepeat(): Boolean
}
