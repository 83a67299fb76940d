package org.chestnutloom.fakes.http

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receive
import io.ktor.server.response.respondBytes
import kotlinx.coroutines.delay
import kotlinx.serialization.SerializationException
import org.chestnutloom.fakes.fault.FaultInjector
import org.chestnutloom.fakes.fault.FaultMode
import kotlin.time.Duration.Companion.milliseconds

/** Responds to the call with the result of [handle], applying the active fault of [faults]. */
internal suspend fun ApplicationCall.respondWithFaults(
    faults: FaultInjector,
    handle: suspend (ByteArray) -> HttpResponse,
) {
    val body = receive<ByteArray>()
    val fault = faults.next(body)
    if (fault.delayMs > 0) delay(fault.delayMs.milliseconds)
    when (fault.mode) {
        FaultMode.DOWN -> {
            send(HttpResponse.empty(HttpStatusCode.ServiceUnavailable))
        }

        FaultMode.LOSE_REPLIES -> {
            handleOrReject(body, handle)
            abortConnection()
        }

        else -> {
            send(handleOrReject(body, handle))
        }
    }
}

/** Responds to an administrative call, to which faults do not apply. */
internal suspend fun ApplicationCall.respondAdmin(handle: suspend (ByteArray) -> HttpResponse) {
    send(handleOrReject(receive<ByteArray>(), handle))
}

/** Decodes a JSON body. */
internal inline fun <reified T> ByteArray.decode(): T = standInJson.decodeFromString(decodeToString())

/** Sends [response] in one piece. */
internal suspend fun ApplicationCall.send(response: HttpResponse) {
    respondBytes(response.body, response.contentType, response.status)
}

private suspend fun handleOrReject(
    body: ByteArray,
    handle: suspend (ByteArray) -> HttpResponse,
): HttpResponse =
    try {
        handle(body)
    } catch (cause: SerializationException) {
        HttpResponse.json(ErrorBody(cause.message.orEmpty()), HttpStatusCode.BadRequest)
    }
