package org.chestnutloom.sidecar

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.opentelemetry.api.OpenTelemetry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runCurrent
import org.chestnutloom.call.CallKind
import org.chestnutloom.id.CallId
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.Incarnation
import org.chestnutloom.id.KeyId
import org.chestnutloom.id.ModelName
import org.chestnutloom.id.ProgramId
import org.chestnutloom.id.TargetId
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.mechanism.Mechanisms
import org.chestnutloom.sidecar.target.TargetEvent
import org.chestnutloom.time.manualClock
import org.chestnutloom.wire.link.Heartbeat
import org.chestnutloom.wire.link.PeerAddress
import org.chestnutloom.wire.link.PeerIdentity
import org.chestnutloom.wire.link.PeerRole
import org.chestnutloom.wire.message.CallRefused
import org.chestnutloom.wire.message.CallRequest
import org.chestnutloom.wire.message.CallStatus
import org.chestnutloom.wire.message.LinkReply
import org.chestnutloom.wire.message.LinkRequest
import org.chestnutloom.wire.message.RunCall

internal val gatewayA = PeerIdentity("gw-a", Incarnation("1"), PeerRole.GATEWAY)
internal val gatewayB = PeerIdentity("gw-b", Incarnation("1"), PeerRole.GATEWAY)
internal val firstCall = CallId("p1/1")
internal val answer = TargetEvent.Response(200, "application/json", """{"paid":true}""")

internal fun sidecarSettings(
    targetUrl: String = "http://127.0.0.1:1",
    maxRunning: Int = 1,
    mechanisms: Mechanisms = Mechanisms.ALL,
): SidecarSettings =
    SidecarSettings(
        target = TargetId("engine-1"),
        environment = "trial",
        failureDomain = "siracusa",
        link = PeerAddress("127.0.0.1", 0),
        kind = CallKind.MODEL,
        targetUrl = targetUrl,
        targetCredential = null,
        models = listOf(ModelName("rattan-8b")),
        services = emptyList(),
        maxRunning = maxRunning,
        mechanisms = mechanisms,
    )

/** A tool call, or with [stream] a streamed model call, of program `p1`. */
internal fun callRequest(
    id: CallId = firstCall,
    attempt: Int = 1,
    ownerEpoch: Long = 1,
    idempotent: Boolean = true,
    stream: Boolean = false,
    key: String? = "key-1",
    body: String = """{"x":1}""",
    queueTimeoutMs: Long = 10_000,
): CallRequest =
    CallRequest(
        id = id,
        attempt = attempt,
        ownerEpoch = ownerEpoch,
        kind = if (stream) CallKind.MODEL else CallKind.TOOL,
        idempotent = idempotent,
        program = ProgramId("p1"),
        account = ClientAccountId("ward-9"),
        key = key?.let { KeyId(it) },
        accountWeight = 1,
        model = null,
        service = "cane-payments",
        method = "POST",
        path = "/pay",
        contentType = "application/json",
        body = body,
        bodyHash = "hash of $body",
        stream = stream,
        promptTokens = 10,
        maxCompletionTokens = 10,
        programServiceMs = 0,
        queueTimeoutMs = queueTimeoutMs,
        runTimeoutMs = 60_000,
        traceParent = null,
    )

/** Runs a sidecar in virtual time and without sockets. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class SidecarFixture(
    private val test: TestScope,
    maxRunning: Int = 1,
    vararg disabled: Mechanism,
) {
    val clock = manualClock()
    val target = FakeTarget()
    val engine = FakeEngine()
    private val scope: CoroutineScope = test.backgroundScope
    val core =
        SidecarCore(
            sidecarSettings(maxRunning = maxRunning, mechanisms = Mechanisms.without(disabled.toSet())),
            Incarnation("s1"),
            target,
            engine,
            clock,
            SimpleMeterRegistry(),
            OpenTelemetry.noop().getTracer("test"),
            scope,
        )

    init {
        sendHeartbeat(gatewayA)
        sendHeartbeat(gatewayB)
    }

    fun sendHeartbeat(
        peer: PeerIdentity,
        proofAgeMs: Long? = 0,
    ) = core.handler.onHeartbeat(peer, Heartbeat(1, proofAgeMs))

    /** Sends [request] from [peer] and returns the list to which its replies are added. */
    fun send(
        request: LinkRequest,
        peer: PeerIdentity = gatewayA,
    ): List<LinkReply> = open(request, peer).replies

    /** Sends [request] from [peer] and returns the collector of its replies. */
    fun open(
        request: LinkRequest,
        peer: PeerIdentity = gatewayA,
    ): ReplyCollector {
        val collector = ReplyCollector(scope, core.handler.handle(peer, request))
        test.runCurrent()
        return collector
    }

    fun run(
        call: CallRequest,
        peer: PeerIdentity = gatewayA,
    ): List<LinkReply> = send(RunCall(call), peer)

    fun runCurrent() = test.runCurrent()

    /** Sends [request] from [gatewayB] and returns its only reply. */
    suspend fun requestStatus(request: LinkRequest): CallStatus =
        core.handler
            .handle(gatewayB, request)
            .toList()
            .single() as CallStatus
}

internal fun List<LinkReply>.refusal() = (last() as CallRefused).refusal
