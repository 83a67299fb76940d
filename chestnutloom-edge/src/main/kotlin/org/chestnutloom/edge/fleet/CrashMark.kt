package org.chestnutloom.edge.fleet

import kotlinx.serialization.Serializable

/**
 * A request that was at a target when the target crashed.
 *
 * @property fingerprint names path, client account and body of the request
 * @property crash names the crash, so that it counts once however many gateways report it
 */
@Serializable
public data class CrashMark(
    public val fingerprint: String,
    public val crash: String,
)
