package org.chestnutloom.gateway.ingress

import org.chestnutloom.wire.message.ForwardedEvent
import java.security.MessageDigest

/**
 * Merges the streams of all attempts of one turn into one stream without gaps or duplicates.
 *
 * Each attempt replays the stream from its first event. Events that the caller already received are skipped if their
 * content is identical. Otherwise the attempt belongs to a different execution of the turn, and its remaining events
 * must not follow the beginning of the earlier execution.
 */
internal class EventReplayFilter {
    private val deliveredDigest = MessageDigest.getInstance(HASH_ALGORITHM)
    private var deliveredCount = 0
    private var replayDigest = MessageDigest.getInstance(HASH_ALGORITHM)
    private var replayCount = 0

    /** Whether any event was delivered to the caller. */
    val hasDelivered: Boolean
        get() = deliveredCount > 0

    /** Starts a new attempt, whose events begin at index 0. */
    fun restart() {
        replayDigest = MessageDigest.getInstance(HASH_ALGORITHM)
        replayCount = 0
    }

    /** Decides what to do with the next [event] of the current attempt. */
    fun accept(event: ForwardedEvent): Verdict {
        if (event.index != replayCount) return Verdict.MISMATCH
        replayCount++
        replayDigest.add(event)
        if (replayCount < deliveredCount) return Verdict.SKIP
        if (replayCount == deliveredCount) return if (prefixMatches()) Verdict.SKIP else Verdict.MISMATCH
        deliveredDigest.add(event)
        deliveredCount++
        return Verdict.DELIVER
    }

    /** Returns whether the current attempt has replayed all events that were delivered so far. */
    fun isComplete(): Boolean = replayCount >= deliveredCount

    private fun prefixMatches(): Boolean {
        val expected = deliveredDigest.clone() as MessageDigest
        val actual = replayDigest.clone() as MessageDigest
        return expected.digest().contentEquals(actual.digest())
    }

    private fun MessageDigest.add(event: ForwardedEvent) {
        update(event.data.toByteArray())
        update(SEPARATOR)
    }

    /** What to do with an event. */
    enum class Verdict {
        /** The caller already received it. */
        SKIP,

        /** It is new and must be sent to the caller. */
        DELIVER,

        /** It belongs to a different execution than the events that the caller received. */
        MISMATCH,
    }

    private companion object {
        const val HASH_ALGORITHM = "SHA-256"
        const val SEPARATOR: Byte = 0
    }
}
