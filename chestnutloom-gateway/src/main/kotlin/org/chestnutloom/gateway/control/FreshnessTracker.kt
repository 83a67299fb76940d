package org.chestnutloom.gateway.control

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.chestnutloom.call.Refusal
import org.chestnutloom.gateway.GatewaySettings
import org.chestnutloom.lease.GatewayLease
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.time.Clock
import kotlin.time.Duration

/**
 * Tracks the age of this gateway's freshness proof.
 *
 * The proof dates from the last lease renewal or the last head read whose versions are applied, whichever is older,
 * each counted from when its request was sent. In a store outage [OutageProber] extends it.
 */
internal class FreshnessTracker(
    private val settings: GatewaySettings,
    private val clock: Clock,
    private val lease: GatewayLease,
) : FreshnessProof {
    private val isRequired = settings.mechanisms.has(Mechanism.FRESHNESS)

    @Volatile
    private var headReadAt: Duration? = null

    @Volatile
    private var extendedAt: Duration? = null

    @Volatile
    private var lastReadAt: Duration? = null

    /** Whether the proof is younger than the lease, regardless of the enabled mechanisms. */
    val isFresh: Boolean
        get() = ageMs()?.let { it < settings.lease.inWholeMilliseconds } ?: false

    override fun check(): Either<Refusal, Unit> {
        if (!isRequired || isFresh) return Unit.right()
        return ControlRefusals
            .stale(
                "The gateway cannot prove that its lease, configuration and keys are current.",
            ).left()
    }

    override fun ageMs(): Long? = provenAt()?.let { (clock.elapsed() - it).inWholeMilliseconds }

    /** The time since the last successful read of the table service in milliseconds, or null if there was none. */
    fun lastReadAgeMs(): Long? = lastReadAt?.let { (clock.elapsed() - it).inWholeMilliseconds }

    /** Records that a read of the table service has just succeeded. */
    fun readSucceeded() {
        lastReadAt = clock.elapsed()
    }

    /** Records that the versions of a head read, sent at [startedAt], are applied. */
    fun headApplied(startedAt: Duration) {
        headReadAt = startedAt
    }

    /** Extends a proof that is still fresh to [startedAt], after a probe that found all gateways in the same outage. */
    fun extend(startedAt: Duration) {
        if (isFresh) extendedAt = startedAt
    }

    /** Discards an extension from an earlier lease. */
    fun leaseAcquired() {
        extendedAt = null
    }

    private fun provenAt(): Duration? {
        val renewed = lease.renewedAt ?: return null
        val read = headReadAt ?: return null
        val own = minOf(renewed, read)
        return extendedAt?.let { maxOf(own, it) } ?: own
    }
}
