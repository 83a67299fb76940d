package org.chestnutloom.wire.link

import org.chestnutloom.time.Clock
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

/**
 * Numbers the heartbeats of one end, and bounds how long those of the peer were under way.
 *
 * The peer repeats the number of the newest heartbeat that it had received when it sent its own, which is therefore
 * no older than that heartbeat of ours.
 */
internal class HeartbeatTracker(
    private val clock: Clock,
    private val helloSentAt: Duration,
) {
    private val sentAt = ConcurrentHashMap<Long, Duration>()
    private val lastSent = AtomicLong()

    @Volatile
    private var lastReceived = 0L

    /** Returns the frame for a heartbeat that leaves now. */
    fun frameFor(heartbeat: Heartbeat): Frame.HeartbeatFrame {
        val sequence = lastSent.incrementAndGet()
        sentAt[sequence] = clock.elapsed()
        return Frame.HeartbeatFrame(heartbeat.copy(sequence = sequence), lastReceived)
    }

    /** Returns the heartbeat of [frame] with its proof age as of now, at worst. */
    fun received(frame: Frame.HeartbeatFrame): Heartbeat {
        lastReceived = maxOf(lastReceived, frame.heartbeat.sequence)
        val echoedAt = sentAt[frame.echo] ?: helloSentAt
        sentAt.keys.removeIf { it < frame.echo }
        val transitMs = (clock.elapsed() - echoedAt).inWholeMilliseconds
        return frame.heartbeat.copy(proofAgeMs = frame.heartbeat.proofAgeMs?.plus(transitMs))
    }
}
