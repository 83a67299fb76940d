package org.chestnutloom.lease

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * How a lease is kept.
 *
 * @property environment the environment whose rows the lease protects
 * @property settleInterval the time between attempts to find out what became of a write without an answer
 * @property isFencing whether writes require that the lease is still held; off only in tests
 */
public data class LeaseOptions(
    public val environment: String,
    public val settleInterval: Duration = 100.milliseconds,
    public val isFencing: Boolean = true,
)
