package org.chestnutloom.id

import kotlinx.serialization.Serializable

/**
 * Names one agent program.
 *
 * A sub-agent's id extends its parent's with a dot, so that a whole family shares one [root] and therefore one slot.
 */
@JvmInline
@Serializable
public value class ProgramId(
    public val value: String,
) {
    /** The id of the outermost ancestor. */
    public val root: String
        get() = value.substringBefore('.')

    /** The id of the parent program, or null for a root program. */
    public val parent: ProgramId?
        get() = if ('.' in value) ProgramId(value.substringBeforeLast('.')) else null

    /** Returns the id of the sub-agent called [name]. */
    public fun child(name: String): ProgramId = ProgramId("$value.$name")

    override fun toString(): String = value
}
