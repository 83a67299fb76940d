package org.chestnutloom.fakes.engine

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.request.put
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsBytes
import io.ktor.http.isSuccess

/** Moves cache entries to and from the object store at [url]. */
internal class ObjectClient(
    private val url: String?,
) : AutoCloseable {
    private val client = HttpClient(CIO)

    /** Stores [text] and tells whether that worked. */
    suspend fun put(
        name: String,
        text: String,
    ): Boolean = url != null && client.put(objectUrl(name)) { setBody(text.toByteArray()) }.status.isSuccess()

    /** Returns the object's text, or null when there is none. */
    suspend fun get(name: String): String? {
        if (url == null) return null
        val response = client.get(objectUrl(name))
        return if (response.status.isSuccess()) response.bodyAsBytes().decodeToString() else null
    }

    override fun close() {
        client.close()
    }

    private fun objectUrl(name: String): String = "$url/v1/objects/$name"
}
