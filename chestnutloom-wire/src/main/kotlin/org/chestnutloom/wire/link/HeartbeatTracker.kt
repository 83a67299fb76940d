package org.chestnutloom.wire.link

import org.chestnutloom.time.Clock
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

/**
 * Numbers the heartbeats sent on a connection, and bounds the transit time of received ones.
 *
 * Each heartbeat echoes the sequence number of the newest heartbeat that its sender had received. It was therefore
 * sent after the echoed heartbeat, and the time since then is an upper bound of its transit time.
 */
internal class HeartbeatTracker(
    private val clock: Clock,
    private val helloSentAt: Duration,
) {
    private val sentAt = ConcurrentHashMap<Long, Duration>()
    private val lastSent = AtomicLong()

    @Volatile
    private var lastReceived = 0L

    /** Assigns the next sequence number to [heartbeat], and returns the frame to send now. */
    fun frameFor(heartbeat: Heartbeat): Frame.HeartbeatFrame {
        val sequence = lastSent.incrementAndGet()
        sentAt[sequence] = clock.elapsed()
        return Frame.HeartbeatFrame(heartbeat.copy(sequence = sequence), lastReceived)
    }

    /** Returns the heartbeat of [frame], its proof age increased by the upper bound of its transit time. */
    fun received(frame: Frame.HeartbeatFrame): Heartbeat {
        lastReceived = maxOf(lastReceived, frame.heartbeat.sequence)
        val echoedAt = sentAt[frame.echo] ?: helloSentAt
        sentAt.keys.removeIf { it < frame.echo }
        val maxTransitMs = (clock.elapsed() - echoedAt).inWholeMilliseconds
        return frame.heartbeat.copy(proofAgeMs = frame.heartbeat.proofAgeMs?.plus(maxTransitMs))
    }
}
