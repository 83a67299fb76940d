package org.chestnutloom.id

import kotlinx.serialization.Serializable

/** Names one model as callers write it in requests. */
@JvmInline
@Serializable
public value class ModelName(
    public val value: String,
) {
    override fun toString(): String = value
}
