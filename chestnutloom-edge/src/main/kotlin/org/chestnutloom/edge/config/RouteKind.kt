package org.chestnutloom.edge.config

/** What may be done with a route's requests more than once. */
public enum class RouteKind {
    /** A request may run any number of times. */
    IDEMPOTENT,

    /** A request runs at most once for each attempt of its caller. */
    NON_IDEMPOTENT,

    /** The answer is a series of events; a request runs at most once unless its route is resumable. */
    STREAMING,
}
