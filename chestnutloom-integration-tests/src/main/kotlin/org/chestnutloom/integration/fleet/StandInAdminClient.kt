package org.chestnutloom.integration.fleet

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.put
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.contentType
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.chestnutloom.store.VmEntry

/** A client of the admin endpoints of the stand-ins, which set faults and return logs. */
class StandInAdminClient : AutoCloseable {
    private val http =
        HttpClient(CIO) {
            expectSuccess = false
            install(HttpTimeout) { requestTimeoutMillis = TIMEOUT_MS }
        }

    /** Sets the fault [mode] of the stand-in at [url]. */
    suspend fun setFault(
        url: String,
        mode: String,
        delayMs: Long = 0,
        count: Int? = null,
        match: String? = null,
        afterChunks: Int? = null,
    ) {
        val body =
            buildJsonObject {
                put("mode", mode)
                put("delayMs", delayMs)
                count?.let { put("count", it) }
                match?.let { put("match", it) }
                afterChunks?.let { put("afterChunks", it) }
            }
        post("$url/admin/fault", body)
    }

    /** Adds or updates [entry] on the VM list at [url]. */
    suspend fun putVm(
        url: String,
        entry: VmEntry,
    ) {
        http.put("$url/admin/vms/${entry.id}") {
            contentType(ContentType.Application.Json)
            setBody(Json.encodeToString(VmEntry.serializer(), entry))
        }
    }

    /** Posts [body] to [url] and returns the body of the response. */
    suspend fun post(
        url: String,
        body: JsonObject,
    ): String =
        http
            .post(url) {
                contentType(ContentType.Application.Json)
                setBody(body.toString())
            }.bodyAsText()

    /** Reads the JSON at [url]. */
    suspend fun read(url: String): JsonElement = Json.parseToJsonElement(http.get(url).bodyAsText())

    /** Reads the text at [url]. */
    suspend fun text(url: String): String = http.get(url).bodyAsText()

    /** Returns the HTTP status of a GET of [url], or null if the connection fails. */
    suspend fun statusOf(url: String): Int? = runCatching { http.get(url).status.value }.getOrNull()

    override fun close() {
        http.close()
    }

    private companion object {
        const val TIMEOUT_MS = 10_000L
    }
}
