package org.chestnutloom.fakes.record

import kotlinx.serialization.Serializable

/**
 * The log record of one request that a target received.
 *
 * Times are in milliseconds since the Unix epoch.
 *
 * @property number the number of the request at this target, starting at 1
 * @property path the path and query
 * @property headers all headers of the request
 * @property bodyBytes the length of the complete body; [body] may be truncated
 * @property startedAtMs when the request started to run, or null if it has not
 * @property endedAtMs when the request ended, or null if it has not
 * @property status the status of the response, or null if there was none
 * @property cancelled whether the request was cancelled
 * @property promptTokens the number of prompt tokens; null for tool services
 * @property cachedTokens the number of prompt tokens that were in the prefix cache; null for tool services
 * @property completionTokens the number of generated tokens; null for tool services
 */
@Serializable
public data class RequestRecord(
    public val number: Int,
    public val receivedAtMs: Long,
    public val requestId: String?,
    public val programId: String?,
    public val method: String,
    public val path: String,
    public val headers: Map<String, List<String>>,
    public val body: String,
    public val bodyBytes: Int,
    public val startedAtMs: Long? = null,
    public val endedAtMs: Long? = null,
    public val status: Int? = null,
    public val cancelled: Boolean = false,
    public val promptTokens: Long? = null,
    public val cachedTokens: Long? = null,
    public val completionTokens: Long? = null,
) {
    /** Whether the request has ended. */
    public val finished: Boolean
        get() = endedAtMs != null
}
