package org.chestnutloom.gateway.control

import org.chestnutloom.gateway.GatewaySettings
import org.chestnutloom.wire.message.StoreStatus
import kotlin.time.Duration

/**
 * Decides whether another gateway is in the same store outage.
 *
 * A gateway that has read nothing for the minimal age must observe a full lease from its next read on before it may
 * fence anybody, since such a pause breaks its observations. So when all gateways say so, nobody can be fenced within a
 * lease from when they were asked, and nobody knows of versions that are newer than this gateway's.
 */
internal object OutageRule {
    /** The pause between reads that breaks an observation of leases. */
    fun minReadAge(settings: GatewaySettings): Duration = settings.lease / 2

    fun isInOutage(
        view: StoreStatus,
        settings: GatewaySettings,
        configVersion: Long,
        keyVersion: Long,
    ): Boolean {
        val ageMs = view.lastReadAgeMs
        val isBlind = ageMs == null || ageMs > minReadAge(settings).inWholeMilliseconds
        return isBlind && view.configVersion <= configVersion && view.keyVersion <= keyVersion
    }
}
