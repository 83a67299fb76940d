package org.chestnutloom.edge.fleet

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

    /** The most recent state of the gateway, or null before the first. */
    public var state: GatewayState? = null
        internal set

    /** Whether this gateway and the peer send each other every heartbeat. */
    internal var isNeighbor: Boolean = false

    /** The sequence number of the last heartbeat that came from the peer itself, in its current incarnation. */
    internal var lastDirectSequence: Long = 0

    /** The monotonic time of the last heartbeat from the peer itself, or the time at which the wait for it began. */
    internal var lastDirectAt: Duration = joinedAt

    /** The monotonic time of the last new state, received directly or relayed, or of the registration before it. */
    internal var lastStateAt: Duration = joinedAt

    /** Whether the peer's heartbeats, or for other peers than neighbors also its relayed states, are missing. */
    public var isUnresponsive: Boolean = false
        internal set

    /** The sequence number of this gateway's heartbeat before the one that last relayed the peer's state. */
    internal var relayedAtSequence: Long = 0

    /** The number of heartbeats that this gateway has sent since the peer became unresponsive. */
    internal var missedHeartbeats: Int = 0
}
