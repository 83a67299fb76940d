package org.chestnutloom.config

import kotlinx.serialization.Serializable

/**
 * The row `head/{environment}`: the latest versions of the configuration and the keys. Gateways poll it.
 *
 * @property configVersion the latest accepted or pending configuration version, or 0 if there is none
 * @property keyVersion the number of key changes so far
 */
@Serializable
public data class ConfigHead(
    public val configVersion: Long,
    public val keyVersion: Long,
) {
    public companion object {
        /** Returns the key of the head row of [environment]. */
        public fun rowKey(environment: String): String = "head/$environment"
    }
}
