package org.chestnutloom.edge.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A request that was at a target when the target crashed.
 *
 * @property fingerprint names path, client account and body of the request
 * @property crash names the crash, so that it counts once however many gateways report it
 */
@Serializable
@SerialName("org.chestnutloom.edge.fleet.CrashMark")
public data class CrashReport(
    public val fingerprint: String,
    public val crash: String,
)
