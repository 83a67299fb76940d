package org.chestnutloom.wire.link

/** Supplies what a process says of itself in its heartbeats. */
public fun interface HeartbeatSource {
    /** Returns the heartbeat to send now; the link fills in its sequence. */
    public fun current(): Heartbeat
}
