package org.chestnutloom.id

import kotlinx.serialization.Serializable

/** Names one access key; it is public, unlike the key's secret. */
@JvmInline
@Serializable
public value class KeyId(
    public val value: String,
) {
    override fun toString(): String = value
}
