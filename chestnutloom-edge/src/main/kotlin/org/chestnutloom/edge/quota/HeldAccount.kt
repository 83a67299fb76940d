package org.chestnutloom.edge.quota

import org.chestnutloom.id.GatewayId

/**
 * An account whose rate limit this gateway enforces.
 *
 * @property others the other gateways that enforce it
 */
internal class HeldAccount(
    val limiter: AccountRateLimiter,
    var others: Set<GatewayId>,
) {
    val bucket: AccountTokenBucket
        get() = limiter.bucket

    /** The number of gateways that enforce the limit. */
    val replicaCount: Int
        get() = others.size + 1
}
