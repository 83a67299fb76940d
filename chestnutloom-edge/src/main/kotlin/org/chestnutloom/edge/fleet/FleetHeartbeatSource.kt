package org.chestnutloom.edge.fleet

/** Builds the heartbeats of this gateway. */
public fun interface FleetHeartbeatSource {
    /** Returns a heartbeat that carries the current state, the number [sequence] and the states in [relayed]. */
    public fun current(
        sequence: Long,
        relayed: List<GatewayState>,
    ): FleetHeartbeat
}
