package org.chestnutloom.fakes.proxy

import org.chestnutloom.fakes.StandIn

/** A proxy for TCP connections that shows faults on command. */
public interface FaultProxy : StandIn {
    /** Opens a link and returns the port that it listens on. */
    public suspend fun open(spec: LinkSpec): LinkPort

    /** Puts [fault] in force on the link called [name]; tells whether there is such a link. */
    public fun set(
        name: String,
        fault: LinkFault,
    ): Boolean

    /** Returns what each link carried so far. */
    public fun stats(): LinkStatsList
}
