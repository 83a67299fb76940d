package org.chestnutloom.gateway.control

import kotlinx.coroutines.flow.Flow
import org.chestnutloom.wire.link.Heartbeat
import org.chestnutloom.wire.link.PeerAddress
import org.chestnutloom.wire.link.PeerIdentity
import org.chestnutloom.wire.message.LinkReply
import org.chestnutloom.wire.message.LinkRequest

/** Everything that a gateway needs to agree with the rest of the fleet, through the platform's store. */
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

    /** Starts the periodic work; other gateways are told to connect to [ownLinkAddress]. */
    public suspend fun start(ownLinkAddress: PeerAddress)

    /** Makes all changes durable, hands over rights, slots and the lease, and ends the periodic work. */
    public suspend fun stopGracefully()

    /** Returns what this gateway says of itself in its heartbeats. */
    public fun heartbeat(): Heartbeat

    /** Answers [request] of another gateway, or returns null when it is not for the control plane. */
    public fun handle(
        peer: PeerIdentity,
        request: LinkRequest,
    ): Flow<LinkReply>?
}
