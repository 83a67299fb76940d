package org.chestnutloom.gateway

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.opentelemetry.api.OpenTelemetry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import org.chestnutloom.gateway.trace.Tracing
import org.chestnutloom.id.GatewayId
import org.chestnutloom.mechanism.Mechanisms
import org.chestnutloom.time.systemClock
import org.chestnutloom.wire.link.Heartbeat
import org.chestnutloom.wire.link.PeerAddress
import java.net.Socket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Runs a gateway's request pipeline behind a real HTTP server, with an in-memory control plane and sidecars. */
internal class GatewayFixture(
    val control: FakeControlPlane = FakeControlPlane(),
    val sidecars: Map<String, FakeSidecar> = control.entries.associate { it.id to FakeSidecar(it.id) },
    mechanisms: Mechanisms = Mechanisms.ALL,
) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val client = HttpClient.newHttpClient()
    private val anyPort = PeerAddress("127.0.0.1", 0)
    val pipeline =
        RequestPipeline(
            settings = settings(mechanisms),
            control = control.services(),
            sidecarLinks = { sidecars.getValue(it.id) },
            heartbeats = { Heartbeat(0) },
            tracing = Tracing(OpenTelemetry.noop().getTracer("test")),
            metrics = SimpleMeterRegistry(),
            clock = systemClock(),
            scope = scope,
        )
    private var port = 0

    private fun settings(mechanisms: Mechanisms) =
        GatewaySettings(
            id = GatewayId("g1"),
            environment = "t",
            failureDomain = "a",
            http = anyPort,
            link = anyPort,
            advertised = null,
            tableUrl = "",
            objectUrl = "",
            vmListUrl = "",
            lease = LEASE,
            mechanisms = mechanisms,
        )

    val payEffects
        get() = sidecars.filterKeys { it.startsWith("pay") }.values.flatMap { it.effects }
    val modelEffects
        get() = sidecars.filterKeys { it.startsWith("engine") }.values.flatMap { it.effects }

    suspend fun start(): GatewayFixture {
        port = pipeline.start()
        return this
    }

    suspend fun stop() {
        pipeline.httpServer.stop()
        scope.cancel()
    }

    fun send(
        method: String,
        url: String,
        body: String = "",
        bearer: String? = FakeControlPlane.WARD_BEARER,
        headers: Map<String, String> = emptyMap(),
    ): Answer {
        val request =
            HttpRequest
                .newBuilder(URI("http://127.0.0.1:$port$url"))
                .timeout(Duration.ofSeconds(30))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
        if (bearer != null) request.header("Authorization", "Bearer $bearer")
        headers.forEach { (name, value) -> request.header(name, value) }
        val response = client.send(request.build(), HttpResponse.BodyHandlers.ofString())
        return Answer(response.statusCode(), response.body(), response.headers().map())
    }

    /** Sends [bytes] over a new TCP connection, closes its output side, and returns everything received. */
    fun sendRaw(bytes: ByteArray): String =
        Socket("127.0.0.1", port).use { socket ->
            socket.soTimeout = RAW_TIMEOUT_MS
            socket.getOutputStream().write(bytes)
            socket.shutdownOutput()
            runCatching { String(socket.getInputStream().readAllBytes()) }.getOrDefault("")
        }

    fun openProgram(
        tokens: Long = 10_000,
        calls: Long = 10,
        extra: String = "",
    ): String {
        val body = """{"budget":{"tokens":$tokens,"calls":$calls,"wall_time_ms":60000}$extra}"""
        return send("POST", "/v1/programs", body).json().text("id")
    }

    fun turn(
        program: String,
        number: Int,
        body: String,
        bearer: String? = FakeControlPlane.WARD_BEARER,
    ): Answer = send("POST", "/v1/programs/$program/turns/$number", body, bearer)

    class Answer(
        val status: Int,
        val body: String,
        val headers: Map<String, List<String>>,
    ) {
        fun json(): JsonObject = Json.parseToJsonElement(body).jsonObject

        fun errorCode(): String = json().getValue("error").jsonObject.text("code")

        fun execution(): String = json().getValue("error").jsonObject.text("execution")
    }

    companion object {
        private const val RAW_TIMEOUT_MS = 5_000
        private val LEASE = 100.milliseconds

        fun model(
            text: String = "hello",
            stream: Boolean = false,
        ) = """{"kind":"model","request":${completion(text, stream)}}"""

        fun completion(
            text: String = "hello",
            stream: Boolean = false,
        ) = """{"model":"m1","messages":[{"role":"user","content":"$text"}],"stream":$stream,"max_tokens":10}"""

        fun pay(amount: Int = 1) = """{"kind":"tool","service":"pay","path":"/pay","body":{"amount":$amount}}"""

        fun JsonObject.text(name: String): String = getValue(name).toString().trim('"')
    }
}
