package org.chestnutloom.fakes

import io.ktor.http.HttpMethod
import kotlinx.coroutines.future.await
import org.chestnutloom.fakes.http.standInJson
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpRequest.BodyPublishers
import java.net.http.HttpResponse.BodyHandlers

/** An HTTP client for a stand-in on this VM. Fails on incomplete responses. */
internal class StandInClient(
    private val port: Int,
) {
    private val http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    suspend fun send(
        path: String,
        body: String? = null,
        method: HttpMethod = if (body == null) HttpMethod.Get else HttpMethod.Post,
        headers: Map<String, String> = emptyMap(),
    ): StandInResponse {
        val publisher = if (body == null) BodyPublishers.noBody() else BodyPublishers.ofString(body)
        val request = HttpRequest.newBuilder(URI("http://127.0.0.1:$port$path")).method(method.value, publisher)
        headers.forEach(request::header)
        val response = http.sendAsync(request.build(), BodyHandlers.ofString()).await()
        return StandInResponse(response.statusCode(), response.body())
    }

    suspend fun setFault(fault: String) {
        send("/admin/fault", fault)
    }

    suspend inline fun <reified T> read(path: String): T = standInJson.decodeFromString(send(path).body)
}

/** Starts the stand-in, runs [test] against it and stops it. */
internal suspend fun StandIn.use(test: suspend (StandInClient) -> Unit) {
    start()
    try {
        test(StandInClient(port))
    } finally {
        stop()
    }
}
