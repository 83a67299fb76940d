package org.chestnutloom.edge.fleet

/** Supplies what a gateway says of itself in its beats. */
public fun interface FleetHeartbeatSource {
    /** Returns the beat with the number [sequence]. */
    public fun current(sequence: Long): FleetHeartbeat
}
