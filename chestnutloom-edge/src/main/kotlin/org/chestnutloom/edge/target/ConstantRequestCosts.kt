package org.chestnutloom.edge.target

/**
 * Assumes that all targets of a kind are equal and that requests of a kind take equally long.
 *
 * Used where costs are not learned; learned costs start from values like these.
 */
internal object ConstantRequestCosts : RequestCosts {
    private const val PREFILL_TOKENS_PER_SECOND = 170_000.0

    /** The approximate delay that each request in a batch adds to a typical response of each of the others. */
    private const val BATCH_DELAY_MS = 8.0
    private const val PLAIN_BATCH_DELAY_MS = 5.0

    /** How long a typical request occupies a slot. */
    private const val MODEL_SERVICE_TIME_MS = 450.0
    private const val PLAIN_SERVICE_TIME_MS = 80.0

    override fun prefillTokensPerSecond(target: Target): Double = PREFILL_TOKENS_PER_SECOND

    override fun delayMs(
        target: Target,
        required: TargetRequirements,
    ): Double {
        val queuedAtTarget = (target.load - target.entry.slots + 1).coerceAtLeast(0)
        val batchDelay = if (required.isModelCall) target.load * BATCH_DELAY_MS else target.load * PLAIN_BATCH_DELAY_MS
        return batchDelay + queuedAtTarget * serviceTimeMs(required) / target.entry.slots
    }

    override fun serviceTimeMs(required: TargetRequirements): Double =
        if (required.isModelCall) MODEL_SERVICE_TIME_MS else PLAIN_SERVICE_TIME_MS
}
