package org.chestnutloom.edge.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.common.log.event
import org.chestnutloom.edge.crash.RequestFingerprint
import org.chestnutloom.edge.crash.SuspectTrials
import org.chestnutloom.edge.crash.TrialGrants
import org.chestnutloom.id.GatewayId
import org.chestnutloom.wire.message.CallRefused
import org.chestnutloom.wire.message.ClaimTrial
import org.chestnutloom.wire.message.Done
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * Lets the gateway that follows a request's fingerprint on the hash ring grant its trials, so that the fleet has one at a
 * time. If that gateway does not answer, the next one grants them.
 */
internal class FleetSuspectTrials(
    private val fleet: Fleet,
    private val links: PeerLinks,
    private val ownGrants: TrialGrants,
) : SuspectTrials {
    override suspend fun claim(fingerprint: RequestFingerprint): Boolean {
        val isGranted =
            fleet.successorsOf(fingerprint.value).take(MAX_OWNERS).firstNotNullOfOrNull { claimFrom(it, fingerprint) }
        logger.event("suspect_trial", "fingerprint" to fingerprint.value, "granted" to (isGranted ?: "no_answer"))
        return isGranted == true
    }

    /** Returns whether [owner] grants the trial, or null if it does not answer. */
    private suspend fun claimFrom(
        owner: GatewayId,
        fingerprint: RequestFingerprint,
    ): Boolean? {
        val peer = fleet.peer(owner) ?: return ownGrants.grant(fingerprint)
        if (peer.isUnresponsive) return null
        val reply = links.request(peer.member, ClaimTrial(fingerprint.value), CLAIM_TIMEOUT).getOrNull()
        return when {
            reply is Done -> true
            reply is CallRefused && reply.refusal.code == RefusalCode.QUARANTINED -> false
            // Gateways of earlier builds do not support the request.
            else -> null
        }
    }

    private companion object {
        private const val MAX_OWNERS = 3
        private val CLAIM_TIMEOUT = 300.milliseconds
    }
}
