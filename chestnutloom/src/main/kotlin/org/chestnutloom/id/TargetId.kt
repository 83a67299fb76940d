package org.chestnutloom.id

import kotlinx.serialization.Serializable

/** Names one target, a model engine or a plain service, together with the sidecar beside it. */
@JvmInline
@Serializable
public value class TargetId(
    public val value: String,
) {
    override fun toString(): String = value
}
