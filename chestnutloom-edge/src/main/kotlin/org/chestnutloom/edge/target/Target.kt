package org.chestnutloom.edge.target

import org.chestnutloom.edge.http.ConnectionPool

/** One run of a target as this gateway sees it; used on the event loop only. */
public class Target internal constructor(
    entry: TargetEntry,
    internal val pool: ConnectionPool,
    internal val cache: PromptCacheEstimate,
) {
    internal val health = TargetHealth()

    /** What the target last said of itself. */
    public var entry: TargetEntry = entry
        internal set

    /** Whether the store no longer lists the target. */
    public var isRemoved: Boolean = false
        internal set

    /** Requests of this gateway that wait or run at the target. */
    public var inFlight: Int = 0
        internal set

    /** Requests of other gateways that wait or run at the target, as they last said. */
    public var peerInFlight: Int = 0
        internal set

    /** Requests that wait or run at the target. */
    public val load: Int
        get() = inFlight + peerInFlight

    /** Whether the target may get new requests. */
    public val acceptsRequests: Boolean
        get() = !isRemoved && entry.stage == TargetStage.READY
}
