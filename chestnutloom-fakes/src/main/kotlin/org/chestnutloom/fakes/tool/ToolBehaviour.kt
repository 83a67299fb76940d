package org.chestnutloom.fakes.tool

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import org.chestnutloom.fakes.http.decode

/** The behaviour of a tool service that the body of a request asks for. */
@Serializable
internal data class ToolBehaviour(
    @SerialName("delay_ms")
    val delayMs: Long = 0,
    val hang: Boolean = false,
    @SerialName("fail_status")
    val failStatus: Int? = null,
    val crash: Boolean = false,
) {
    companion object {
        private val DEFAULT = ToolBehaviour()

        /** Parses [body]; returns the default behaviour if it is not a valid description. */
        fun parse(body: ByteArray): ToolBehaviour =
            try {
                body.decode()
            } catch (_: SerializationException) {
                DEFAULT
            }
    }
}
