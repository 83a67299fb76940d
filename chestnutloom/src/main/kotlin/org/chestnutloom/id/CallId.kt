package org.chestnutloom.id

import kotlinx.serialization.Serializable

/** Names one call to a target; a repeat of the same call carries the same id. */
@JvmInline
@Serializable
public value class CallId(
    public val value: String,
) {
    override fun toString(): String = value

    public companion object {
        /** Returns the id of turn [turnNumber] of [program]. */
        public fun ofTurn(
            program: ProgramId,
            turnNumber: Int,
        ): CallId = CallId("${program.value}/$turnNumber")
    }
}
