package org.chestnutloom.fakes.proxy

import org.chestnutloom.fakes.StandIn

/** A TCP proxy that injects faults. */
public interface FaultProxy : StandIn {
    /** Opens a link and returns its listen port. */
    public suspend fun open(spec: LinkSpec): LinkPort

    /** Sets the fault of the link called [name]; returns whether the link exists. */
    public fun set(
        name: String,
        fault: LinkFault,
    ): Boolean

    /** Returns the statistics of all links. */
    public fun stats(): LinkStatsList
}
