package org.chestnutloom.edge.fleet

import kotlin.time.Duration

/** Another gateway of the fleet as this one hears it; used on the event loop only. */
public class Peer internal constructor(
    member: Member,
    joinedAt: Duration,
) {
    /** How the gateway registered itself. */
    public var member: Member = member
        internal set

    /** The newest beat, or null before the first. */
    public var lastBeat: FleetBeat? = null
        internal set

    /** When the gateway was last heard, on the monotonic clock, or when it was first listed. */
    internal var heardAt: Duration = joinedAt

    /** Whether nothing came from the gateway for longer than beats are ever lost in a row. */
    public var isSilent: Boolean = false
        internal set
}
