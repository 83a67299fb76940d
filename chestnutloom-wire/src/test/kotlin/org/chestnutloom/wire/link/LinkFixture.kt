package org.chestnutloom.wire.link

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.chestnutloom.mechanism.Mechanisms
import org.chestnutloom.time.systemClock
import org.chestnutloom.wire.message.LinkReply
import org.chestnutloom.wire.message.LinkRequest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Creates the links and servers of a test; cancelling [scope] stops them. */
internal class LinkFixture(
    silenceTimeout: Duration = 20.seconds,
    mechanisms: Mechanisms = Mechanisms.ALL,
    windowBytes: Long = 4096,
) {
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    val options =
        LinkOptions(
            heartbeatInterval = 20.milliseconds,
            silenceTimeout = silenceTimeout,
            connectTimeout = 2.seconds,
            mechanisms = mechanisms,
            windowBytes = windowBytes,
        )
    val heartbeats = java.util.concurrent.ConcurrentLinkedQueue<Heartbeat>()

    fun link(
        port: Int,
        expected: String? = null,
    ): PeerLink =
        peerLink(
            PeerAddress(loopback, port),
            identity("caller"),
            expected,
            { Heartbeat(0, proofAgeMs = 5) },
            options,
            systemClock(),
            scope,
        )

    fun server(
        id: String = "s1",
        respond: (LinkRequest) -> Flow<LinkReply>,
    ): LinkServer {
        val handler =
            object : LinkHandler {
                override fun handle(
                    peer: PeerIdentity,
                    request: LinkRequest,
                ): Flow<LinkReply> = respond(request)

                override fun onHeartbeat(
                    peer: PeerIdentity,
                    heartbeat: Heartbeat,
                ) {
                    heartbeats.add(heartbeat)
                }
            }
        val bind = PeerAddress(loopback, 0)
        return linkServer(
            bind,
            identity(id),
            handler,
            { Heartbeat(0, configVersion = 7) },
            options,
            systemClock(),
            scope,
        )
    }
}

/** Runs [block] with a fixture, within a timeout of 60 seconds, and then stops its links and servers. */
internal fun withLinks(
    fixture: LinkFixture = LinkFixture(),
    block: suspend LinkFixture.() -> Unit,
) {
    try {
        runBlocking(Dispatchers.Default) { withTimeout(60.seconds) { fixture.block() } }
    } finally {
        fixture.scope.cancel()
    }
}
