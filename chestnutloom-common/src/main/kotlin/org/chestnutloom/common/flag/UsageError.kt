package org.chestnutloom.common.flag

/**
 * One fault of how a program was called.
 *
 * @property subject the flag or argument at fault
 */
public data class UsageError(
    public val subject: String,
    public val problem: String,
) {
    override fun toString(): String = "$subject: $problem"
}
