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

/** Reads plain responses, and rejects incomplete ones. */
internal class ResponseReader(
    private val checksLength: Boolean,
) {
    suspend fun read(
        id: CallId,
        response: HttpResponse,
    ): TargetEvent {
        if (!belongsTo(id, response)) return lost("the response belongs to another request")
        if (response.status.value !in
            FINAL_STATUSES
        ) {
            return lost("the response has the status ${response.status.value}")
        }
        val bytes = response.bodyAsChannel().readRemaining(MAX_RESPONSE_BYTES + 1).readByteArray()
        if (bytes.size > MAX_RESPONSE_BYTES) return TargetEvent.Failed(TargetFailure.ResponseTooLarge)
        if (checksLength && !isComplete(response, bytes)) return lost("the response is incomplete or has no length")
        val contentType = response.headers[HttpHeaders.ContentType] ?: DEFAULT_CONTENT_TYPE
        return TargetEvent.Response(response.status.value, contentType, bytes.decodeToString())
    }

    /**
     * Returns whether a body is known to be complete: it has its declared length, or it is a complete JSON value.
     *
     * The HTTP client does not report an error when a chunked body is aborted between two chunks.
     */
    private fun isComplete(
        response: HttpResponse,
        body: ByteArray,
    ): Boolean {
        if (response.status == HttpStatusCode.NoContent || response.status == HttpStatusCode.NotModified) return true
        val declaredBytes = response.headers[HttpHeaders.ContentLength]?.toLongOrNull()
        if (declaredBytes != null) return declaredBytes == body.size.toLong()
        return response.headers[HttpHeaders.TransferEncoding] != null && isCompleteJson(body.decodeToString())
    }

    private fun isCompleteJson(body: String): Boolean =
        try {
            Json.parseToJsonElement(body) !is JsonPrimitive
        } catch (_: SerializationException) {
            false
        }

    private companion object {
        val FINAL_STATUSES = 200..599
        const val MAX_RESPONSE_BYTES = 4L * 1024 * 1024
        const val DEFAULT_CONTENT_TYPE = "application/octet-stream"
    }
}

/** Returns whether [response] belongs to request [id]; a response without a request id is accepted. */
internal fun belongsTo(
    id: CallId,
    response: HttpResponse,
): Boolean {
    val answered = response.headers[REQUEST_ID] ?: return true
    return answered == id.value
}
