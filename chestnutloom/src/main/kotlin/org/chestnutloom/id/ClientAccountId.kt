package org.chestnutloom.id

import kotlinx.serialization.Serializable

/** Identifies a client account within an environment. */
@JvmInline
@Serializable
public value class ClientAccountId(
    public val value: String,
) {
    override fun toString(): String = value
}
