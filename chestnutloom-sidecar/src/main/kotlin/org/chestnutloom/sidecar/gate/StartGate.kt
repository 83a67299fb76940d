package org.chestnutloom.sidecar.gate

import org.chestnutloom.call.Refusal
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.sidecar.SidecarSettings
import org.chestnutloom.sidecar.call.CallRecord
import org.chestnutloom.sidecar.call.Refusals

/** Decides, right before a queued call starts, whether it may. */
internal class StartGate(
    private val settings: SidecarSettings,
    private val keys: WithdrawnKeys,
    private val proofs: PeerProofs,
    private val epochs: OwnerEpochs,
    private val pauses: PauseGuard,
) {
    /** Tells whether no call may start for now. */
    fun isHolding(): Boolean = pauses.isHolding()

    /** Returns why [record] must not start, or null when it may. */
    fun refusalOf(record: CallRecord): Refusal? {
        val request = record.request
        return when {
            keys.blocks(request.key) -> Refusals.keyWithdrawn
            !epochs.admits(request.program, request.ownerEpoch) -> Refusals.olderOwner
            !isSenderCurrent(record) -> Refusals.senderStale
            else -> null
        }
    }

    /** Calls of open routes need no keys to be current, so a live sender is enough for them. */
    private fun isSenderCurrent(record: CallRecord): Boolean {
        if (!settings.mechanisms.has(Mechanism.FRESHNESS)) return true
        val isOpenRoute = record.request.account == null
        val age = if (isOpenRoute) proofs.silence(record.sender) else proofs.proofAge(record.sender)
        return age != null && age < settings.gatewaySilenceTimeout
    }
}
