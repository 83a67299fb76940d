package org.chestnutloom.edge.target

/**
 * A request that a target has served successfully.
 *
 * @property uncachedTokens the prompt tokens that the target had not cached, as far as the gateway knew
 * @property others the mean number of other requests at the target meanwhile
 * @property firstByteMs the time until the head of the response
 * @property totalMs the time until the end of the response
 * @property events the number of events of the response, or 0 if it is no event stream
 * @property tokensPerEvent the number of output tokens in each event
 */
internal class CompletedRequest(
    val traits: RequestTraits,
    val target: Target,
    val uncachedTokens: Long,
    val others: Double,
    val firstByteMs: Double,
    val totalMs: Double,
    val events: Int,
    val tokensPerEvent: Int,
)
