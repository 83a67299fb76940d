package org.chestnutloom.route

/** The policies that choose a target for each call. */
public enum class RoutingPolicyKind {
    /** The lowest sum of expected queue wait and prefill time of uncached prompt tokens. */
    COST,

    /** The fewest calls in flight, relative to the concurrency limit. */
    LEAST_LOADED,

    /** A random target, uniformly distributed. */
    RANDOM,
}
