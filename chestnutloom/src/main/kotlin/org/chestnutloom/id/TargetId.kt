package org.chestnutloom.id

import kotlinx.serialization.Serializable

/** Identifies a target (a model engine or a plain service) and its sidecar. */
@JvmInline
@Serializable
public value class TargetId(
    public val value: String,
) {
    override fun toString(): String = value
}
