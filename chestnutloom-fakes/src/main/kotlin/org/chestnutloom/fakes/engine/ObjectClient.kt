package org.chestnutloom.fakes.engine

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.request.put
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsBytes
import io.ktor.http.isSuccess

/** Stores cache entries in the object store at [url] and loads them from it. */
internal class ObjectClient(
    private val url: String?,
) : AutoCloseable {
    private val client = HttpClient(CIO)

    /** Stores [text] and returns whether the store accepted it. */
    suspend fun put(
        name: String,
        text: String,
    ): Boolean = url != null && client.put(objectUrl(name)) { setBody(text.toByteArray()) }.status.isSuccess()

    /** Returns the text of the object, or null if it does not exist. */
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
