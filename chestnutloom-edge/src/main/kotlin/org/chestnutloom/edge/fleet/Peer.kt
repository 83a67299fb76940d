package org.chestnutloom.edge.fleet

import org.chestnutloom.id.GatewayRun
import kotlin.time.Duration

/** The state of another gateway as observed by this one; confined to the event loop. */
public class Peer internal constructor(
    registered: RegisteredMember,
    joinedAt: Duration,
) {
    /** The gateway's row in the store. */
    public var registered: RegisteredMember = registered
        internal set

    /** The gateway's registration. */
    public val member: Member
        get() = registered.member

    /** The most recent heartbeat, or null before the first. */
    public var lastHeartbeat: FleetHeartbeat? = null
        internal set

    /** The incarnation that sent the last heartbeat, or null before the first heartbeat. */
    public val run: GatewayRun?
        get() = lastHeartbeat?.let { GatewayRun(it.gateway, it.incarnation) }

    /** The monotonic time of the last heartbeat, or of the registration before the first heartbeat. */
    internal var lastHeartbeatAt: Duration = joinedAt

    /** Whether no heartbeat has arrived within the silence timeout. */
    public var isUnresponsive: Boolean = false
        internal set

    /** The number of heartbeats that this gateway has sent since the peer became unresponsive. */
    internal var missedHeartbeats: Int = 0
}
