package org.chestnutloom.edge.fleet

import kotlinx.serialization.Serializable

/**
 * Reports that a request was in flight at a target when the target crashed.
 *
 * @property fingerprint identifies the method, path, client account and body of the request
 * @property crash identifies the crash, so that it counts once even if several gateways report it
 * @property ageMs the time since the crash; a report ends at a maximum age, wherever it is relayed
 * @property isCleared whether a request with the fingerprint has since run without a crash, so that the crash no longer
 *   counts against it
 * @property order one more than the number of crashes in a row that the sender of the request knew of when it sent it; 1 in
 *   reports of earlier builds
 */
@Serializable
public data class CrashReport(
    public val fingerprint: String,
    public val crash: String,
    public val ageMs: Long,
    public val isCleared: Boolean,
    public val order: Int = 1,
)
