package org.chestnutloom.fakes.record

import kotlinx.serialization.Serializable

/**
 * One request that a target received, as its log shows it.
 *
 * Times are milliseconds since 1970 UTC.
 *
 * @property number counts the target's requests, from 1
 * @property path the path with its query
 * @property headers every header of the request
 * @property bodyBytes the length of the whole body, of which [body] may hold only a part
 * @property startedAtMs when the target began to run the request, or null
 * @property endedAtMs when the target finished the request, or null
 * @property status the status of the answer, or null when there was none
 * @property cancelled whether the request was cancelled while it ran
 * @property promptTokens tokens of the prompt; null for plain services
 * @property cachedTokens tokens of the prompt that the prefix cache held; null for plain services
 * @property completionTokens tokens generated; null for plain services
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
    /** Whether the target ran the request to its end. */
    public val finished: Boolean
        get() = endedAtMs != null
}
