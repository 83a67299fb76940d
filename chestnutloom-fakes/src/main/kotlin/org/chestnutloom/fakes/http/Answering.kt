package org.chestnutloom.fakes.http

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receive
import io.ktor.server.response.respondBytes
import kotlinx.coroutines.delay
import kotlinx.serialization.SerializationException
import org.chestnutloom.fakes.fault.FaultGate
import org.chestnutloom.fakes.fault.FaultMode
import kotlin.time.Duration.Companion.milliseconds

/** Answers the call with what [handle] makes of its body, through the fault that [gate] has in force. */
internal suspend fun ApplicationCall.answer(
    gate: FaultGate,
    handle: suspend (ByteArray) -> HttpResponse,
) {
    val body = receive<ByteArray>()
    val fault = gate.next(body)
    if (fault.delayMs > 0) delay(fault.delayMs.milliseconds)
    when (fault.mode) {
        FaultMode.DOWN -> {
            send(HttpResponse.empty(HttpStatusCode.ServiceUnavailable))
        }

        FaultMode.LOSE_REPLIES -> {
            handleOrRefuse(body, handle)
            dropConnection()
        }

        else -> {
            send(handleOrRefuse(body, handle))
        }
    }
}

/** Answers an administrative call, which no fault touches. */
internal suspend fun ApplicationCall.respondAdmin(handle: suspend (ByteArray) -> HttpResponse) {
    send(handleOrRefuse(receive<ByteArray>(), handle))
}

/** Decodes a JSON body. */
internal inline fun <reified T> ByteArray.decode(): T = standInJson.decodeFromString(decodeToString())

/** Sends [answer] whole. */
internal suspend fun ApplicationCall.send(answer: HttpResponse) {
    respondBytes(answer.body, answer.contentType, answer.status)
}

private suspend fun handleOrRefuse(
    body: ByteArray,
    handle: suspend (ByteArray) -> HttpResponse,
): HttpResponse =
    try {
        handle(body)
    } catch (cause: SerializationException) {
        HttpResponse.json(BadRequest(cause.message.orEmpty()), HttpStatusCode.BadRequest)
    }
