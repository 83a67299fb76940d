package org.chestnutloom.id

import kotlinx.serialization.Serializable

/**
 * Identifies an agent program.
 *
 * A sub-agent's id is its parent's id, a dot and a name, so a program tree shares one [root] and therefore one slot.
 */
@JvmInline
@Serializable
public value class ProgramId(
    public val value: String,
) {
    /** The id of the root program. */
    public val root: String
        get() = value.substringBefore('.')

    /** The id of the parent program, or null for a root program. */
    public val parent: ProgramId?
        get() = if ('.' in value) ProgramId(value.substringBeforeLast('.')) else null

    /** Returns the id of the sub-agent named [name]. */
    public fun child(name: String): ProgramId = ProgramId("$value.$name")

    override fun toString(): String = value
}
