package org.chestnutloom.config

/**
 * One setting that differs between two documents.
 *
 * @property before the old value rendered as HOCON, or null when the setting was added
 * @property after the new value rendered as HOCON, or null when the setting was removed
 */
public data class DocumentChange(
    public val path: String,
    public val before: String?,
    public val after: String?,
)
