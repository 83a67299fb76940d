package org.chestnutloom.gateway.control

import org.chestnutloom.config.EnvironmentSettings

/** An accepted version of the environment's settings, with the source text of its document. */
public data class VersionedSettings(
    public val version: Long,
    public val settings: EnvironmentSettings,
    public val document: String,
)
