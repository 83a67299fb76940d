package org.chestnutloom.gateway.control

import org.chestnutloom.gateway.GatewaySettings
import org.chestnutloom.wire.message.StoreStatus
import kotlin.time.Duration

/**
 * Decides whether another gateway is affected by the same store outage.
 *
 * A gateway that has not read the store for the minimum age must observe a full lease duration from its next read
 * before it may fence another gateway, because such a pause invalidates its observations. If this applies to all
 * gateways, none can be fenced within one lease duration of the probe, and none knows newer versions than this one.
 */
internal object OutageRule {
    /** The pause between reads that invalidates an observation of leases. */
    fun minReadAge(settings: GatewaySettings): Duration = settings.lease / 2

    fun isInOutage(
        status: StoreStatus,
        settings: GatewaySettings,
        configVersion: Long,
        keyVersion: Long,
    ): Boolean {
        val ageMs = status.lastReadAgeMs
        val hasNoRecentRead = ageMs == null || ageMs > minReadAge(settings).inWholeMilliseconds
        return hasNoRecentRead && status.configVersion <= configVersion && status.keyVersion <= keyVersion
    }
}
