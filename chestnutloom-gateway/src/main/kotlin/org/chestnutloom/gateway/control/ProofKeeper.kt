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
 * Computes the age of this gateway's proof.
 *
 * The proof is as old as the older of the newest lease renewal and the newest head read whose versions are in force,
 * each counted from when it was sent. In a store outage [OutageProber] extends it.
 */
internal class ProofKeeper(
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

    /** Whether the proof is young enough, whatever mechanisms are off. */
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

    /** The age of the newest successful read of the table service, in milliseconds, or null when there was none. */
    fun lastReadAgeMs(): Long? = lastReadAt?.let { (clock.elapsed() - it).inWholeMilliseconds }

    /** Takes note of a successful read of any rows that ends now. */
    fun readEnded() {
        lastReadAt = clock.elapsed()
    }

    /** Takes note that the versions in a head read, sent at [startedAt], are in force here. */
    fun headInForce(startedAt: Duration) {
        headReadAt = startedAt
    }

    /** Extends a proof that is still fresh to [startedAt], when no other gateway could read the store either. */
    fun extend(startedAt: Duration) {
        if (isFresh) extendedAt = startedAt
    }

    /** Forgets an extension that was made under an earlier lease. */
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
