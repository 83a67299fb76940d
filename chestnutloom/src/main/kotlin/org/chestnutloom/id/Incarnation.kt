package org.chestnutloom.id

import kotlinx.serialization.Serializable

/** Distinguishes one run of a process from its other runs on the same VM. */
@JvmInline
@Serializable
public value class Incarnation(
    public val value: String,
) {
    override fun toString(): String = value
}
