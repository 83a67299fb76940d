package org.chestnutloom.gateway.control

import arrow.core.Either
import arrow.core.raise.either
import org.chestnutloom.call.Refusal
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.GatewayId
import org.chestnutloom.rate.REQUEST_MILLI_TOKENS
import org.chestnutloom.rate.RateLimit
import org.chestnutloom.rate.TokenBucket
import org.chestnutloom.rate.tokenBucket
import org.chestnutloom.time.Clock
import org.chestnutloom.wire.message.RequestRights
import org.chestnutloom.wire.message.RightsMoved
import java.util.concurrent.ConcurrentHashMap

/** Admits requests by a share of the rate limit that ignores other gateways' use; a baseline for experiments. */
internal class FixedShareAdmission(
    private val clock: Clock,
    private val proof: FreshnessProof,
    private val limits: AccountLimits,
    private val sharePermille: () -> Int,
) : RateControl {
    private val buckets = ConcurrentHashMap<ClientAccountId, TokenBucket>()

    override suspend fun admit(account: ClientAccountId): Either<Refusal, Unit> =
        either {
            proof.check().bind()
            val limit = limits.of(account) ?: raise(ControlRefusals.unauthorized("The client account does not exist."))
            val bucket = buckets.computeIfAbsent(account) { fullBucket(limit) }
            bucket.resize(limit, sharePermille())
            if (!bucket.tryTake(REQUEST_MILLI_TOKENS)) {
                raise(ControlRefusals.rateLimited(bucket.timeUntil(REQUEST_MILLI_TOKENS)?.inWholeMilliseconds))
            }
        }

    override fun lend(
        peer: GatewayId,
        request: RequestRights,
    ): RightsMoved = RightsMoved(request.account, 0)

    override suspend fun refresh(account: ClientAccountId) = Unit

    override suspend fun maintain() = Unit

    override suspend fun releaseAll() = Unit

    override fun reset() = Unit

    private fun fullBucket(limit: RateLimit): TokenBucket =
        tokenBucket(clock, limit, sharePermille()).also { it.add(limit.burst * REQUEST_MILLI_TOKENS) }
}
