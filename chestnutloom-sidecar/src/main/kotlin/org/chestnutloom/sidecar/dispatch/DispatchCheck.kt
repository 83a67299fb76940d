package org.chestnutloom.sidecar.dispatch

import org.chestnutloom.call.Refusal
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.sidecar.SidecarSettings
import org.chestnutloom.sidecar.call.CallRecord
import org.chestnutloom.sidecar.call.Refusals

/** Checks the preconditions of a queued call immediately before it is started. */
internal class DispatchCheck(
    private val settings: SidecarSettings,
    private val withdrawnKeys: WithdrawnKeys,
    private val freshness: PeerFreshness,
    private val ownerEpochs: OwnerEpochs,
    private val pauses: PauseDetector,
) {
    /** Returns whether no call may start, because this process is recovering from a pause. */
    fun isSuspended(): Boolean = pauses.isRecovering()

    /** Returns the reason why [record] must not start, or null if it may. */
    fun refusalOf(record: CallRecord): Refusal? {
        val request = record.request
        return when {
            withdrawnKeys.blocks(request.key) -> Refusals.keyWithdrawn
            !ownerEpochs.admits(request.program, request.ownerEpoch) -> Refusals.olderOwner
            !isSenderCurrent(record) -> Refusals.senderStale
            else -> null
        }
    }

    /** Calls of open routes carry no key, so they require a recent heartbeat but no freshness proof. */
    private fun isSenderCurrent(record: CallRecord): Boolean {
        if (!settings.mechanisms.has(Mechanism.FRESHNESS)) return true
        val isOpenRoute = record.request.account == null
        val age = if (isOpenRoute) freshness.timeSinceHeartbeat(record.sender) else freshness.proofAge(record.sender)
        return age != null && age < settings.gatewaySilenceTimeout
    }
}
