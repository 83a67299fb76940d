package org.chestnutloom.sidecar.target

import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.utils.io.readRemaining
import kotlinx.io.readByteArray
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonPrimitive
import org.chestnutloom.id.CallId

/** Reads plain answers, and tells whole ones from broken ones. */
internal class AnswerReader(
    private val checksLength: Boolean,
) {
    suspend fun read(
        id: CallId,
        response: HttpResponse,
    ): TargetEvent {
        if (!belongsTo(id, response)) return lost("The answer belongs to another request.")
        val bytes = response.bodyAsChannel().readRemaining(MAX_ANSWER_BYTES + 1).readByteArray()
        if (bytes.size > MAX_ANSWER_BYTES) return TargetEvent.Failed(TargetFailure.AnswerTooLarge)
        if (checksLength && !isWhole(response, bytes)) return lost("The answer was cut off, or has no known length.")
        val contentType = response.headers[HttpHeaders.ContentType] ?: DEFAULT_CONTENT_TYPE
        return TargetEvent.Answer(response.status.value, contentType, bytes.decodeToString())
    }

    /**
     * Tells whether a body is known to be whole: it has its declared length, or it is a whole JSON value.
     *
     * The HTTP client does not tell a chunked body that was cut between two chunks from a whole one.
     */
    private fun isWhole(
        response: HttpResponse,
        body: ByteArray,
    ): Boolean {
        if (response.status == HttpStatusCode.NoContent || response.status == HttpStatusCode.NotModified) return true
        val declaredBytes = response.headers[HttpHeaders.ContentLength]?.toLongOrNull()
        if (declaredBytes != null) return declaredBytes == body.size.toLong()
        return response.headers[HttpHeaders.TransferEncoding] != null && isWholeJson(body.decodeToString())
    }

    private fun isWholeJson(body: String): Boolean =
        try {
            Json.parseToJsonElement(body) !is JsonPrimitive
        } catch (_: SerializationException) {
            false
        }

    private companion object {
        const val MAX_ANSWER_BYTES = 4L * 1024 * 1024
        const val DEFAULT_CONTENT_TYPE = "application/octet-stream"
    }
}

/** Tells whether [response] answers request [id], as far as the target says which one it answers. */
internal fun belongsTo(
    id: CallId,
    response: HttpResponse,
): Boolean {
    val answered = response.headers[REQUEST_ID] ?: return true
    return answered == id.value
}
