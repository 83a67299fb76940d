package org.chestnutloom.edge.fleet

import org.chestnutloom.id.GatewayRun
import kotlin.time.Duration

/** Another gateway of the fleet as this one hears it; used on the event loop only. */
public class Peer internal constructor(
    registered: RegisteredMember,
    joinedAt: Duration,
) {
    /** The gateway's row. */
    public var registered: RegisteredMember = registered
        internal set

    /** How the gateway registered itself. */
    public val member: Member
        get() = registered.member

    /** The newest beat, or null before the first. */
    public var lastHeartbeat: FleetHeartbeat? = null
        internal set

    /** The run that was heard last, or null before the first beat. */
    public val run: GatewayRun?
        get() = lastHeartbeat?.let { GatewayRun(it.gateway, it.incarnation) }

    /** When the gateway was last heard, on the monotonic clock, or when it was first listed. */
    internal var heardAt: Duration = joinedAt

    /** Whether nothing came from the gateway for longer than beats are ever lost in a row. */
    public var isSilent: Boolean = false
        internal set

    /** Beats that this gateway sent since the other one fell silent. */
    internal var missedHeartbeats: Int = 0
}
