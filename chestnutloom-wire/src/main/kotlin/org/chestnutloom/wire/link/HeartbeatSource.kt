package org.chestnutloom.wire.link

/** Supplies the content of the heartbeats that this process sends. */
public fun interface HeartbeatSource {
    /** Returns the heartbeat to send now; the link sets its sequence number. */
    public fun current(): Heartbeat
}
