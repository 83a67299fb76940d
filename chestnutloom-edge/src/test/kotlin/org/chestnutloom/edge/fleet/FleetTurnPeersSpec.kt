package org.chestnutloom.edge.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.chestnutloom.edge.VirtualClock
import org.chestnutloom.id.CallId
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.Incarnation
import org.chestnutloom.wire.link.PeerAddress
import kotlin.random.Random

private fun member(name: String) =
    Member(GatewayId(name), Incarnation("1"), "siracusa", PeerAddress("127.0.0.1", port = 9))

private object NoOpListener : FleetListener {
    override fun heartbeatReceived(
        peer: Peer,
        heartbeat: FleetHeartbeat,
    ) = Unit

    override fun stateChanged(peer: Peer) = Unit

    override fun peerUnresponsive(peer: Peer) = Unit

    override fun peerFailed(peer: Peer) = Unit

    override fun selfUnregistered() = Unit

    override fun peerUnregistered(id: GatewayId) = Unit

    override fun topologyChanged() = Unit
}

class FleetTurnPeersSpec :
    DescribeSpec({
        fun TestScope.fleet(): Fleet {
            val noHeartbeats = FleetHeartbeatSource { _, _ -> error("no heartbeat is sent in this test") }
            val noTransport = FleetTransport { _, _ -> }
            return Fleet(member("g1"), noTransport, noHeartbeats, NoOpListener, VirtualClock(this), this, Random(1))
        }

        fun TestScope.turnPeersOf(fleet: Fleet) =
            FleetTurnPeers(fleet, PeerLinks(member("g1"), VirtualClock(this), backgroundScope))

        describe("looking up a turn in the caches of the other gateways") {
            it("finds nothing before any other gateway is known") {
                runTest {
                    turnPeersOf(fleet()).find(CallId("t")).shouldBeNull()
                }
            }

            it("finds nothing if the other gateways do not reply") {
                runTest {
                    val fleet = fleet()
                    fleet.replaceAll(listOf("g1", "g2").map { RegisteredMember(member(it), rowVersion = 1) })
                    turnPeersOf(fleet).find(CallId("t")).shouldBeNull()
                }
            }
        }
    })
