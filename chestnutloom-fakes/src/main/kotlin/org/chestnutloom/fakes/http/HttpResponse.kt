package org.chestnutloom.fakes.http

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import kotlinx.serialization.json.Json

/** A complete HTTP response of a stand-in. */
internal class HttpResponse(
    val status: HttpStatusCode,
    val contentType: ContentType?,
    val body: ByteArray,
) {
    companion object {
        fun empty(status: HttpStatusCode): HttpResponse = HttpResponse(status, null, ByteArray(0))

        fun bytes(body: ByteArray): HttpResponse =
            HttpResponse(HttpStatusCode.OK, ContentType.Application.OctetStream, body)

        fun jsonText(
            status: HttpStatusCode,
            body: String,
        ): HttpResponse = HttpResponse(status, ContentType.Application.Json, body.toByteArray())

        inline fun <reified T> json(
            body: T,
            status: HttpStatusCode = HttpStatusCode.OK,
        ): HttpResponse = jsonText(status, standInJson.encodeToString(body))
    }
}

/** The JSON configuration of all stand-ins. */
internal val standInJson: Json =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = true
    }
