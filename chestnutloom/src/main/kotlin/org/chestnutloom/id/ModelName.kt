package org.chestnutloom.id

import kotlinx.serialization.Serializable

/** The name of a model, as used in requests. */
@JvmInline
@Serializable
public value class ModelName(
    public val value: String,
) {
    override fun toString(): String = value
}
