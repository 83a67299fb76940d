package org.chestnutloom.id

import kotlinx.serialization.Serializable

/** Tells one run of a process from the runs before and after it on the same VM. */
@JvmInline
@Serializable
public value class Incarnation(
    public val value: String,
) {
    override fun toString(): String = value
}
