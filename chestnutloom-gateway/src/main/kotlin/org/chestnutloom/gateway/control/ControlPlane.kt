package org.chestnutloom.gateway.control

import kotlinx.coroutines.flow.Flow
import org.chestnutloom.wire.link.Heartbeat
import org.chestnutloom.wire.link.PeerAddress
import org.chestnutloom.wire.link.PeerIdentity
import org.chestnutloom.wire.message.LinkReply
import org.chestnutloom.wire.message.LinkRequest

/** Coordinates a gateway with the rest of the fleet through the platform's store. */
public interface ControlPlane {
    public val keys: KeyDirectory
    public val settings: SettingsSource
    public val proof: FreshnessProof
    public val admission: AdmissionControl
    public val ownership: OwnershipTable
    public val journal: Journal
    public val peers: PeerDirectory
    public val targets: TargetDirectory

    /** Whether the gateway holds its lease and has read a configuration. */
    public val isReady: Boolean

    /** Starts the periodic work and publishes [ownLinkAddress] to the other gateways. */
    public suspend fun start(ownLinkAddress: PeerAddress)

    /** Makes pending changes durable, releases rights, slots and the lease, and ends the periodic work. */
    public suspend fun stopGracefully()

    /** Returns the content of the heartbeats that this gateway sends. */
    public fun heartbeat(): Heartbeat

    /** Replies to [request] from another gateway, or returns null if the control plane does not handle it. */
    public fun handle(
        peer: PeerIdentity,
        request: LinkRequest,
    ): Flow<LinkReply>?
}
