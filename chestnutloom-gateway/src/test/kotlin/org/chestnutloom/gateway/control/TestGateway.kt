package org.chestnutloom.gateway.control

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.plus
import kotlinx.coroutines.test.TestScope
import org.chestnutloom.gateway.GatewaySettings
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.Incarnation
import org.chestnutloom.mechanism.Mechanisms
import org.chestnutloom.wire.link.PeerAddress

/** One control plane of a [TestFleet], which can be partitioned from the store and from its peers. */
internal class TestGateway(
    val fleet: TestFleet,
    test: TestScope,
    val id: String,
    val incarnation: Incarnation,
    mechanisms: Mechanisms,
) {
    val job = Job(test.backgroundScope.coroutineContext[Job])
    val scope: CoroutineScope = test.backgroundScope + job
    val table = PartitionableTable(fleet.table)
    val address = PeerAddress("10.0.0.1", id.hashCode() and 0xffff)

    /** Whether this gateway and the others get no replies from each other. */
    var isUnresponsive = false

    val settings =
        GatewaySettings(
            id = GatewayId(id),
            environment = ENVIRONMENT,
            failureDomain = "siracusa",
            http = PeerAddress("10.0.0.1", 0),
            link = PeerAddress("10.0.0.1", 0),
            advertised = null,
            tableUrl = "",
            objectUrl = "",
            vmListUrl = "",
            slots = 8,
            mechanisms = mechanisms,
        )
    val plane: ControlPlane =
        controlPlane(
            settings,
            incarnation,
            fleet.clock,
            SimpleMeterRegistry(),
            scope,
            table,
            PartitionableObjectStore(fleet.objects, table),
            TestVmList(fleet),
            TestDecoder,
        ) { address, peer -> TestLink(fleet, this, peer, address) }

    /** Whether the simulated process is running. */
    val isRunning: Boolean
        get() = job.isActive

    /** Ends the simulated process abruptly. */
    fun kill() {
        job.cancel()
    }
}
