package org.chestnutloom.edge.config

/** How often a route's requests may run. */
public enum class RouteKind {
    /** A request may run any number of times. */
    IDEMPOTENT,

    /** A request runs at most once for each attempt of its caller. */
    NON_IDEMPOTENT,

    /** The response is an event stream; a request runs at most once unless its route is resumable. */
    STREAMING,
}
