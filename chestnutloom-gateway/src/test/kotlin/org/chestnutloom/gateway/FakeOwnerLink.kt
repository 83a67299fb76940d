package org.chestnutloom.gateway

import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import org.chestnutloom.id.Incarnation
import org.chestnutloom.wire.link.Heartbeat
import org.chestnutloom.wire.link.LinkException
import org.chestnutloom.wire.link.LinkFailure
import org.chestnutloom.wire.link.PeerAddress
import org.chestnutloom.wire.link.PeerIdentity
import org.chestnutloom.wire.link.PeerLink
import org.chestnutloom.wire.link.PeerRole
import org.chestnutloom.wire.message.ForwardRequest
import org.chestnutloom.wire.message.ForwardedAnswer
import org.chestnutloom.wire.message.ForwardedEvent
import org.chestnutloom.wire.message.LinkReply
import org.chestnutloom.wire.message.LinkRequest
import java.util.concurrent.atomic.AtomicInteger

/** A link to the gateway of [owner] with configurable faults. */
internal class FakeOwnerLink(
    private val owner: GatewayFixture,
) : PeerLink {
    /** How many of the next answers are lost in transit. */
    val lostAnswers = AtomicInteger()

    /** The number of events after which the next stream is aborted, or null. */
    @Volatile
    var abortAfterEvents: Int? = null

    /** Transforms the event data of subsequent streams. */
    @Volatile
    var transformEvent: (String) -> String = { it }

    @Volatile
    var refusesConnections = false

    override val address = PeerAddress("127.0.0.1", 2)
    override val peer = PeerIdentity("g2", Incarnation("i1"), PeerRole.GATEWAY)
    override val lastHeartbeat: Heartbeat? = null

    override fun request(request: LinkRequest): Flow<LinkReply> =
        flow {
            if (refusesConnections) throw LinkException(LinkFailure.Refused(address))
            owner.pipeline.router.acceptForwarded(request as ForwardRequest).collect { reply ->
                if (reply is ForwardedEvent && reply.index == abortAfterEvents) {
                    abortAfterEvents = null
                    throw lost()
                }
                if (reply is ForwardedAnswer && lostAnswers.getAndUpdate { maxOf(0, it - 1) } > 0) throw lost()
                emit(if (reply is ForwardedEvent) reply.copy(data = transformEvent(reply.data)) else reply)
            }
        }

    override suspend fun close() = Unit

    private fun lost() = LinkException(LinkFailure.Lost(address, "connection aborted"))
}
