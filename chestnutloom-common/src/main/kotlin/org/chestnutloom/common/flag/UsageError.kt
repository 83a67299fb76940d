package org.chestnutloom.common.flag

/**
 * One error in the command line.
 *
 * @property subject the flag or argument that is wrong
 */
public data class UsageError(
    public val subject: String,
    public val problem: String,
) {
    override fun toString(): String = "$subject: $problem"
}
