package org.chestnutloom.gateway.http

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.right
import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveChannel
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import kotlinx.io.readByteArray
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.gateway.body.badRequest
import java.nio.ByteBuffer
import java.nio.charset.CharacterCodingException
import kotlin.time.Duration.Companion.seconds

private val READ_TIMEOUT = 30.seconds
private const val MAX_NESTING_DEPTH = 64

/** Reads the body of [call] as UTF-8 text, or refuses it if it is larger than [maxBytes]. */
internal suspend fun readText(
    call: ApplicationCall,
    maxBytes: Long,
): Either<Refusal, String> =
    either {
        if (!hasBody(call)) return@either ""
        val contentLength = call.request.headers[HttpHeaders.ContentLength]?.toLongOrNull()
        ensure(contentLength == null || contentLength <= maxBytes) { bodyTooLarge(maxBytes) }
        val bytes = readBytes(call, maxBytes).bind()
        ensure(bytes.size <= maxBytes) { bodyTooLarge(maxBytes) }
        ensure(contentLength == null || bytes.size.toLong() == contentLength) {
            badRequest("The body is shorter than its Content-Length.")
        }
        decode(bytes).bind()
    }

/** Reads the body of [call] as a JSON object, or refuses it if it is larger than [maxBytes]. */
internal suspend fun readObject(
    call: ApplicationCall,
    maxBytes: Long,
): Either<Refusal, JsonObject> =
    either {
        val text = readText(call, maxBytes).bind()
        ensure(maxNestingDepth(text) <= MAX_NESTING_DEPTH) {
            badRequest("The body is nested more than $MAX_NESTING_DEPTH levels deep.")
        }
        parseObject(text).bind()
    }

/** Returns whether [call] has a body; reading an absent one never returns if the client offers an HTTP upgrade. */
private fun hasBody(call: ApplicationCall): Boolean {
    val headers = call.request.headers
    val length = headers[HttpHeaders.ContentLength]
    return (length != null && length != "0") || HttpHeaders.TransferEncoding in headers
}

private suspend fun readBytes(
    call: ApplicationCall,
    maxBytes: Long,
): Either<Refusal, ByteArray> =
    try {
        val bytes =
            withTimeoutOrNull(READ_TIMEOUT) { call.receiveChannel().readRemaining(maxBytes + 1).readByteArray() }
        bytes?.right() ?: badRequest("The body was not received within $READ_TIMEOUT.").left()
    } catch (_: IOException) {
        badRequest("The connection was closed before the body was complete.").left()
    }

private fun decode(bytes: ByteArray): Either<Refusal, String> =
    try {
        Charsets.UTF_8
            .newDecoder()
            .decode(ByteBuffer.wrap(bytes))
            .toString()
            .right()
    } catch (_: CharacterCodingException) {
        badRequest("The body is not valid UTF-8.").left()
    }

private fun parseObject(text: String): Either<Refusal, JsonObject> =
    try {
        (Json.parseToJsonElement(text) as? JsonObject)?.right() ?: badRequest("The body is not a JSON object.").left()
    } catch (_: SerializationException) {
        badRequest("The body is not valid JSON.").left()
    }

private fun maxNestingDepth(text: String): Int {
    var depth = 0
    var maxDepth = 0
    for (character in text) {
        if (character == '{' || character == '[') maxDepth = maxOf(maxDepth, ++depth)
        if (character == '}' || character == ']') depth--
    }
    return maxDepth
}

private fun bodyTooLarge(maxBytes: Long): Refusal =
    Refusal(RefusalCode.BODY_TOO_LARGE, Execution.NOT_RUN, "The body is larger than $maxBytes bytes.")
