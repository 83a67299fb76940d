package org.chestnutloom.lease

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * How a lease is kept.
 *
 * @property environment the environment whose rows the lease protects
 * @property retryInterval the time between attempts to find out what became of a write without an answer
 * @property isFencingEnabled whether writes require that the lease is still held; off only in tests
 */
public data class LeaseOptions(
    public val environment: String,
    public val retryInterval: Duration = 100.milliseconds,
    public val isFencingEnabled: Boolean = true,
)
