package org.chestnutloom.lease

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Options of a gateway lease.
 *
 * @property environment the environment whose rows the lease protects
 * @property retryInterval delay between attempts to resolve a write with an unknown outcome
 * @property isFencingEnabled whether writes are conditional on the lease being held; disabled only in tests
 */
public data class LeaseOptions(
    public val environment: String,
    public val retryInterval: Duration = 100.milliseconds,
    public val isFencingEnabled: Boolean = true,
)
