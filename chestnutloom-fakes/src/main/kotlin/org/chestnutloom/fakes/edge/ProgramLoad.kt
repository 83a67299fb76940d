package org.chestnutloom.fakes.edge

import kotlinx.coroutines.future.await
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse

/** Runs programs on edge gateways, with a target for each service behind them. */
public class ProgramLoad(
    store: RowStoreStandIn,
) {
    private val environment = EdgeEnvironment(store)
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    private val tools = ScriptedTarget { signedResponse(it, "ok") }
    private val engine = ScriptedTarget { streamResponse(it, List(EVENTS) { "event" }) }
    private var calls = 0

    /** Starts the targets and writes the configuration and their rows. */
    public suspend fun start() {
        tools.start()
        engine.start()
        environment.configure(version = 1, ratePerSecond = RATE_PER_SECOND, burst = RATE_PER_SECOND)
        environment.putTarget("tools", EdgeEnvironment.PLAIN, tools.port)
        environment.putTarget("engine", EdgeEnvironment.LLM, engine.port)
    }

    /** Stops the targets. */
    public suspend fun stop() {
        tools.stop()
        engine.stop()
    }

    /** Runs a program of two turns and two tool calls, spread over the gateways at [urls], and returns the statuses. */
    public suspend fun program(urls: List<String>): List<Int> {
        val program = "p${++calls}"
        val first = "$program-1"
        return listOf(
            turn(urls.first(), program, first, previous = null),
            send(urls.first(), "/plain/read", "$program-2", emptyMap()),
            send(urls.last(), "/pay/book", "$program-3", emptyMap()),
            turn(urls.last(), program, "$program-4", previous = first),
        )
    }

    private suspend fun turn(
        gatewayUrl: String,
        program: String,
        id: String,
        previous: String?,
    ): Int {
        val headers =
            mapOf(
                "Chestnutloom-Program-Id" to program,
                "Chestnutloom-Token-Budget" to "10000",
                "Chestnutloom-Token-Usage" to "10,100",
            )
        return send(
            gatewayUrl,
            "/chat/turn",
            id,
            headers + previous?.let { mapOf("Chestnutloom-Previous-Turn" to it) }.orEmpty(),
        )
    }

    private suspend fun send(
        gatewayUrl: String,
        path: String,
        id: String,
        headers: Map<String, String>,
    ): Int {
        val request =
            HttpRequest
                .newBuilder(URI("$gatewayUrl$path"))
                .POST(HttpRequest.BodyPublishers.ofString("input of $id"))
                .header("Host", "a.example")
                .header("Authorization", "Token key-a")
                .header("Chestnutloom-Attempt-Id", id)
                .header("Chestnutloom-Deadline-Ms", "$CALLER_TIMEOUT_MS")
        headers.forEach { (name, value) -> request.header(name, value) }
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString()).await().statusCode()
    }

    private companion object {
        init {
            // The host selects the route, so that it has to be that of the configuration.
            System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host")
        }

        const val EVENTS = 12
        const val RATE_PER_SECOND = 100_000
        const val CALLER_TIMEOUT_MS = 4_000
    }
}
