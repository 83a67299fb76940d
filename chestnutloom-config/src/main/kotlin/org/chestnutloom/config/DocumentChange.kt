package org.chestnutloom.config

/**
 * One setting that differs between two documents.
 *
 * @property before the old value as written in HOCON, or null when the setting is new
 * @property after the new value as written in HOCON, or null when the setting is gone
 */
public data class DocumentChange(
    public val path: String,
    public val before: String?,
    public val after: String?,
)
