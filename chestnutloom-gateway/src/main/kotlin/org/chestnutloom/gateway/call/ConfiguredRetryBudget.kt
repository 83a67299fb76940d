package org.chestnutloom.gateway.call

import org.chestnutloom.gateway.control.SettingsSource
import org.chestnutloom.retry.RetryBudget
import org.chestnutloom.retry.retryBudget

/** A retry budget that uses the ratio in the environment's settings and is reset when that ratio changes. */
internal class ConfiguredRetryBudget(
    private val settings: SettingsSource,
) : RetryBudget {
    private var ratio = 0.0
    private var budget = retryBudget(ratio, MAX_RETRIES)

    override fun recordRequest() = current().recordRequest()

    override fun tryRetry(): Boolean = current().tryRetry()

    @Synchronized
    private fun current(): RetryBudget {
        val configuredRatio =
            settings.current.value
                ?.settings
                ?.limits
                ?.retryRatio ?: ratio
        if (configuredRatio != ratio) {
            ratio = configuredRatio
            budget = retryBudget(configuredRatio, MAX_RETRIES)
        }
        return budget
    }

    private companion object {
        const val MAX_RETRIES = 20
    }
}
