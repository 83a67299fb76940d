package org.chestnutloom.gateway.ingress

import org.chestnutloom.wire.message.ForwardedEvent
import java.security.MessageDigest

/**
 * Joins the repeated streams of one turn into one stream without gaps or repeats.
 *
 * A repeat starts at the first event again. What the caller already got is left out, but only when it is the same as in
 * the repeat; otherwise the repeat is another run, whose rest must not follow the first run's start.
 */
internal class EventReplayFilter {
    private val delivered = MessageDigest.getInstance(ALGORITHM)
    private var deliveredCount = 0
    private var repeated = MessageDigest.getInstance(ALGORITHM)
    private var repeatedCount = 0

    /** Whether the caller has got any event. */
    val hasDelivered: Boolean
        get() = deliveredCount > 0

    /** Starts to take the events of a repeat. */
    fun restart() {
        repeated = MessageDigest.getInstance(ALGORITHM)
        repeatedCount = 0
    }

    /** Says what to do with the next [event] of the current stream. */
    fun accept(event: ForwardedEvent): Verdict {
        if (event.index != repeatedCount) return Verdict.MISMATCH
        repeatedCount++
        repeated.add(event)
        if (repeatedCount < deliveredCount) return Verdict.SKIP
        if (repeatedCount == deliveredCount) return if (isSame()) Verdict.SKIP else Verdict.MISMATCH
        delivered.add(event)
        deliveredCount++
        return Verdict.DELIVER
    }

    /** Tells whether the current stream has reached at least what the caller already got. */
    fun isComplete(): Boolean = repeatedCount >= deliveredCount

    private fun isSame(): Boolean {
        val sofar = delivered.clone() as MessageDigest
        val again = repeated.clone() as MessageDigest
        return sofar.digest().contentEquals(again.digest())
    }

    private fun MessageDigest.add(event: ForwardedEvent) {
        update(event.data.toByteArray())
        update(SEPARATOR)
    }

    /** What to do with an event. */
    enum class Verdict {
        /** The caller has it. */
        SKIP,

        /** The caller gets it. */
        DELIVER,

        /** It belongs to another run than what the caller has. */
        MISMATCH,
    }

    private companion object {
        const val ALGORITHM = "SHA-256"
        const val SEPARATOR: Byte = 0
    }
}
