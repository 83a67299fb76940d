package org.chestnutloom.gateway.call

/** Earns a fraction of a repeat with each first sending, up to a limit. */
internal class TokenRetryGate : RetryGate {
    private var repeats = INITIAL_REPEATS

    @Synchronized
    override fun firstSending(ratio: Double) {
        repeats = (repeats + ratio).coerceAtMost(MAX_REPEATS)
    }

    @Synchronized
    override fun tryRepeat(): Boolean {
        if (repeats < 1) return false
        repeats -= 1
        return true
    }

    private companion object {
        const val INITIAL_REPEATS = 10.0
        const val MAX_REPEATS = 100.0
    }
}
