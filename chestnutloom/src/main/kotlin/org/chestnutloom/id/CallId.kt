package org.chestnutloom.id

import kotlinx.serialization.Serializable

/** Identifies one call to a target; retries of the call use the same id. */
@JvmInline
@Serializable
public value class CallId(
    public val value: String,
) {
    override fun toString(): String = value

    public companion object {
        /** Returns the id of the call of turn [turnNumber] of [program]. */
        public fun ofTurn(
            program: ProgramId,
            turnNumber: Int,
        ): CallId = CallId("${program.value}/$turnNumber")
    }
}
