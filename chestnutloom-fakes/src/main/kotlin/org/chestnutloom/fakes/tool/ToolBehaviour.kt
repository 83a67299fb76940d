package org.chestnutloom.fakes.tool

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import org.chestnutloom.fakes.http.decode

/** What the body of a request asks a tool service to do, besides its effect. */
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
        private val PLAIN = ToolBehaviour()

        /** Reads the behaviour out of [body]; bodies of another form ask for nothing. */
        fun of(body: ByteArray): ToolBehaviour =
            try {
                body.decode()
            } catch (_: SerializationException) {
                PLAIN
            }
    }
}
