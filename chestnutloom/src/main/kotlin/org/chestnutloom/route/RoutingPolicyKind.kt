package org.chestnutloom.route

/** The policies by which calls are spread over targets. */
public enum class RoutingPolicyKind {
    /** The least sum of expected queue wait and prefill of what is not cached. */
    COST,

    /** The fewest calls under way. */
    LEAST_LOADED,

    /** Any target, evenly. */
    RANDOM,
}
