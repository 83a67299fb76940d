package org.chestnutloom.gateway.control

import org.chestnutloom.config.EnvironmentSettings

/** One accepted version of the environment's settings, with the document's text. */
public data class VersionedSettings(
    public val version: Long,
    public val settings: EnvironmentSettings,
    public val document: String,
)
