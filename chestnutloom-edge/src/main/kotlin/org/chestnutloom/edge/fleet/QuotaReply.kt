package org.chestnutloom.edge.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.id.ClientAccountId

/**
 * The reply to the [QuotaRequest] with the same [id].
 *
 * @property retryAfterMs the expected time until a refused request can be admitted, in milliseconds
 * @property count the number of granted tokens
 * @property allowsStarts whether tokens granted in advance may be used to start programs
 */
@Serializable
@SerialName("quota_reply")
public data class QuotaReply(
    public val id: Long,
    public val account: ClientAccountId,
    public val outcome: QuotaOutcome,
    public val retryAfterMs: Long = 0,
    public val count: Int = 1,
    public val allowsStarts: Boolean = false,
) : FleetMessage
