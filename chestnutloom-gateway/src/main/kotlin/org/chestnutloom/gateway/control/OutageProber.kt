package org.chestnutloom.gateway.control

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.firstOrNull
import kotlinx.coroutines.withTimeoutOrNull
import org.chestnutloom.common.log.event
import org.chestnutloom.gateway.GatewaySettings
import org.chestnutloom.time.Clock
import org.chestnutloom.wire.link.LinkException
import org.chestnutloom.wire.link.LinkFailure
import org.chestnutloom.wire.link.PeerLink
import org.chestnutloom.wire.message.ProbeStore
import org.chestnutloom.wire.message.StoreStatus
import kotlin.time.Duration

private val logger = KotlinLogging.logger {}

/**
 * Extends this gateway's freshness proof in a store outage while every other gateway is in the same outage.
 *
 * A gateway that refuses the connection has no running process. One that is unreachable or does not reply might be
 * able to read the store, so it prevents the extension.
 */
internal class OutageProber(
    private val settings: GatewaySettings,
    private val clock: Clock,
    private val proof: FreshnessTracker,
    private val fleet: FleetDirectory,
    private val versions: AppliedVersions,
) {
    private var wasExtended = false

    /** Probes all other gateways if this one has not read the store recently; called at each poll. */
    suspend fun probe() {
        val ageMs = proof.lastReadAgeMs() ?: return
        val isOutage = ageMs > settings.pollInterval.inWholeMilliseconds * MISSED_POLLS
        val startedAt = clock.elapsed()
        val isShared = isOutage && proof.isFresh && areAllInOutage()
        if (isShared) proof.extend(startedAt)
        if (isShared != wasExtended) logger.event("outage_extension", "active" to isShared, "read_age_ms" to ageMs)
        wasExtended = isShared
    }

    private suspend fun areAllInOutage(): Boolean =
        coroutineScope {
            fleet
                .all()
                .values
                .map { link -> async { isInOutage(link) } }
                .awaitAll()
                .all { it }
        }

    private suspend fun isInOutage(link: PeerLink): Boolean =
        try {
            val reply = withTimeoutOrNull(probeTimeout()) { link.request(ProbeStore).firstOrNull() }
            reply is StoreStatus && OutageRule.isInOutage(reply, settings, versions.configVersion, versions.keyVersion)
        } catch (exception: LinkException) {
            exception.failure is LinkFailure.Refused
        }

    private fun probeTimeout(): Duration = settings.lease / 4

    private companion object {
        const val MISSED_POLLS = 2
    }
}
