package org.chestnutloom.common.node

/** The lifecycle of a gateway or sidecar inside its daemon process. */
public interface Node {
    /** Whether the node accepts work; false until startup completes and once a graceful shutdown begins. */
    public val isReady: Boolean

    /** The ports that the node is bound to, with any port 0 resolved. */
    public val endpoints: NodeEndpoints

    /** Starts the node and returns once its ports are bound. */
    public suspend fun start()

    /** Rejects new work, hands over owned state, completes the calls in flight, and stops. */
    public suspend fun stopGracefully()
}
