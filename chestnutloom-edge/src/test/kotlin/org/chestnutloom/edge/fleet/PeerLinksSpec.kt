package org.chestnutloom.edge.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flowOf
import kotlinx.coroutines.withContext
import org.chestnutloom.edge.http.EdgeLoop
import org.chestnutloom.id.CallId
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.Incarnation
import org.chestnutloom.time.systemClock
import org.chestnutloom.wire.link.LinkHandler
import org.chestnutloom.wire.link.PeerAddress
import org.chestnutloom.wire.link.PeerIdentity
import org.chestnutloom.wire.message.FindTurn
import org.chestnutloom.wire.message.LinkReply
import org.chestnutloom.wire.message.LinkRequest
import org.chestnutloom.wire.message.TurnFound
import java.net.ServerSocket
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private fun memberAtFreePort(name: String): Member {
    val port = ServerSocket(0).use { it.localPort }
    return Member(GatewayId(name), Incarnation("1"), "siracusa", PeerAddress("127.0.0.1", port))
}

/** Knows no turns. */
private object NoTurns : LinkHandler {
    override fun handle(
        peer: PeerIdentity,
        request: LinkRequest,
    ): Flow<LinkReply> = flowOf(TurnFound(null))
}

class PeerLinksSpec :
    DescribeSpec({
        val loop = EdgeLoop()
        val server = memberAtFreePort("g2")
        val serverLinks = PeerLinks(server, systemClock(), loop.scope)
        val links = PeerLinks(memberAtFreePort("g1"), systemClock(), loop.scope, idleTimeout = 50.milliseconds)

        beforeSpec { serverLinks.start(NoTurns) }
        afterSpec {
            serverLinks.stop()
            loop.close()
        }

        suspend fun isAnswered() =
            withContext(
                loop.scope.coroutineContext,
            ) { links.request(server, FindTurn(CallId("t")), 30.seconds).isRight() }

        suspend fun openCount() = withContext(loop.scope.coroutineContext) { links.openCount }

        describe("a link to another gateway") {
            // Guards against links to every gateway that stay open, and exchange heartbeats, after a single request.
            it("is closed when it is idle, and opened again for the next request") {
                repeat(2) {
                    isAnswered() shouldBe true
                    while (openCount() > 0) delay(10.milliseconds)
                }
            }
        }
    })
