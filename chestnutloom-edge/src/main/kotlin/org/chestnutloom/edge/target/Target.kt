package org.chestnutloom.edge.target

import org.chestnutloom.edge.http.ConnectionPool
import org.chestnutloom.edge.outlier.OutlierState

/** The state that this gateway keeps for one run of a target; confined to the event loop. */
public class Target internal constructor(
    entry: TargetEntry,
    internal val pool: ConnectionPool,
    internal val cache: PromptCacheEstimate,
) {
    internal val outlier = OutlierState()

    /** The entry that the target last registered. */
    public var entry: TargetEntry = entry
        internal set

    /** Whether the target is no longer registered in the store. */
    public var isRemoved: Boolean = false
        internal set

    /** Whether a response of the target said that it shuts down. A new run of the target is another [Target]. */
    public var isLeaving: Boolean = false
        internal set

    /** Whether a response of the target had neither a length nor chunks, so that later ones may have none either. */
    internal var sendsUnframed: Boolean = false

    /** The number of requests that this gateway has in flight at the target. */
    public var inFlight: Int = 0
        internal set

    /** The number of requests that other gateways have in flight at the target, as far as this one knows. */
    public var peerInFlight: Int = 0
        internal set

    /** The work that other gateways have in progress at the target, in milliseconds, as far as they report it. */
    public var peerWorkMs: Int = 0
        internal set

    /** The work that this gateway has in progress at the target; empty unless costs are learned. */
    internal val work: WorkInProgress = WorkInProgress()

    /** The number of requests in flight at the target. */
    public val load: Int
        get() = inFlight + peerInFlight

    /** Whether new requests may be sent to the target. */
    public val acceptsRequests: Boolean
        get() = !isRemoved && !isLeaving && entry.stage == TargetStage.READY
}
