package org.chestnutloom.config

/**
 * One fault of an environment document.
 *
 * @property path the path of the faulty setting, such as `accounts.ward-9.rate_per_second`
 * @property line the line of the document, starting at 1, or null when the setting is missing
 */
public data class DocumentFault(
    public val path: String,
    public val line: Int?,
    public val problem: String,
) {
    override fun toString(): String = "$path (line ${line ?: "none"}): $problem"
}
