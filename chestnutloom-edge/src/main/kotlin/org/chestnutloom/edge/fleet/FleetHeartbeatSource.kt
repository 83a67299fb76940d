package org.chestnutloom.edge.fleet

/** Builds the heartbeats of this gateway. */
public fun interface FleetHeartbeatSource {
    /** Returns a heartbeat that carries the current state and the number [sequence]. */
    public fun current(sequence: Long): FleetHeartbeat
}
