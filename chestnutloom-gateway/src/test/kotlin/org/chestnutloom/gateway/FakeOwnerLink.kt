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

/** A link to the gateway of [owner] that loses what a test chooses. */
internal class FakeOwnerLink(
    private val owner: GatewayFixture,
) : PeerLink {
    /** Answers that are lost on their way. */
    val lostAnswers = AtomicInteger()

    /** After how many events the next stream breaks, or null. */
    @Volatile
    var breakAfterEvents: Int? = null

    /** Changes the events of the streams that follow. */
    @Volatile
    var disguise: (String) -> String = { it }

    @Volatile
    var refuses = false

    override val address = PeerAddress("127.0.0.1", 2)
    override val peer = PeerIdentity("g2", Incarnation("i1"), PeerRole.GATEWAY)
    override val lastHeartbeat: Heartbeat? = null

    override fun request(request: LinkRequest): Flow<LinkReply> =
        flow {
            if (refuses) throw LinkException(LinkFailure.Refused(address))
            owner.pipeline.router.acceptForwarded(request as ForwardRequest).collect { reply ->
                if (reply is ForwardedEvent && reply.index == breakAfterEvents) {
                    breakAfterEvents = null
                    throw lost()
                }
                if (reply is ForwardedAnswer && lostAnswers.getAndUpdate { maxOf(0, it - 1) } > 0) throw lost()
                emit(if (reply is ForwardedEvent) reply.copy(data = disguise(reply.data)) else reply)
            }
        }

    override suspend fun close() = Unit

    private fun lost() = LinkException(LinkFailure.Lost(address, "cut"))
}
