package org.chestnutloom.edge.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.chestnutloom.edge.http.EdgeLoop
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.Incarnation
import org.chestnutloom.wire.link.PeerAddress
import java.net.DatagramSocket
import kotlin.time.Duration.Companion.seconds

private const val ACCOUNTS = 77

private fun freeAddress() = PeerAddress("127.0.0.1", DatagramSocket(0).use { it.localPort })

private fun heartbeatWithUsageOf(accounts: Int) =
    FleetHeartbeat(
        gateway = GatewayId("gateway-with-a-long-name-1"),
        incarnation = Incarnation("1"),
        sequence = 1,
        configurationVersion = 1,
        reachesStore = true,
        turnsToWrite = 0,
        accountUsage = List(accounts) { AccountUsage(ClientAccountId("account-$it"), admitted = 0) },
        loads = emptyList(),
        crashes = emptyList(),
    )

class FleetHeartbeatSocketSpec :
    DescribeSpec({
        val loop = EdgeLoop()

        afterSpec { loop.close() }

        describe("a heartbeat") {
            // Guards against a heartbeat that is cut off at the receiver's buffer once a deployment has many accounts.
            it("is received whole when it lists the usage of $ACCOUNTS client accounts") {
                val received = CompletableDeferred<FleetHeartbeat>()
                val address = freeAddress()
                val metrics = HeartbeatMetrics(SimpleMeterRegistry())
                val receiver = FleetHeartbeatSocket(address, loop, metrics) { received.complete(it) }
                val sender = FleetHeartbeatSocket(freeAddress(), loop, metrics) {}
                receiver.start()
                sender.start()
                sender.send(heartbeatWithUsageOf(ACCOUNTS), listOf(address))
                withTimeoutOrNull(10.seconds) { received.await() }?.accountUsage?.size shouldBe ACCOUNTS
            }
        }
    })
