package org.chestnutloom.edge.config

import kotlinx.collections.immutable.ImmutableList
import kotlin.time.Duration

/**
 * A route of an environment.
 *
 * @property pathPrefix the path prefix, which begins and ends with a slash
 * @property timeout the maximum time until a request completes
 * @property latencyObjective the intended latency of a response, or of the first event of a stream
 * @property priority the priority of the route's requests; 0 is the highest
 * @property maxRuns the maximum number of targets on which one attempt of a caller may run
 * @property isRetained whether turns are stored, so that callers send only new input
 * @property retention how long a turn is kept after its response completed
 * @property isPublic whether requests need no access key
 * @property isResumable whether a stream may be resumed at another target after its last event
 * @property hasAffinity whether a target that has handled the same object or prompt recently is faster
 */
public data class Route(
    public val name: String,
    public val host: String,
    public val pathPrefix: String,
    public val kind: RouteKind,
    public val timeout: Duration,
    public val latencyObjective: Duration,
    public val priority: Int,
    public val destinations: ImmutableList<Destination>,
    public val maxRuns: Int,
    public val isRetained: Boolean,
    public val retention: Duration,
    public val isPublic: Boolean,
    public val isResumable: Boolean,
    public val hasAffinity: Boolean = false,
) {
    /** Whether a request that may have run can be retried at another target. */
    public val isIdempotent: Boolean
        get() = kind == RouteKind.IDEMPOTENT
}
