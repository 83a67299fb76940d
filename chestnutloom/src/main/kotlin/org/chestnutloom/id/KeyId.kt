package org.chestnutloom.id

import kotlinx.serialization.Serializable

/** Identifies an access key; unlike the key's secret it is public. */
@JvmInline
@Serializable
public value class KeyId(
    public val value: String,
) {
    override fun toString(): String = value
}
