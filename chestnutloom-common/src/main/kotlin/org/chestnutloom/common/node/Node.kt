package org.chestnutloom.common.node

/** A gateway or sidecar as its daemon drives it. */
public interface Node {
    /** Whether the node takes work; false before it has all it needs and from the start of a planned stop. */
    public val isReady: Boolean

    /** Where the node listens; ports are the actual ones. */
    public val endpoints: NodeEndpoints

    /** Starts the node and returns once it listens. */
    public suspend fun start()

    /** Takes no new work, hands over what it owns, finishes what is under way, and stops. */
    public suspend fun stopGracefully()
}
