package org.chestnutloom.edge.quota

/** Tells the other gateways what this one admitted. */
public interface UseReporter {
    /** Gateways of the fleet, this one included. */
    public val fleetSize: Int

    /** Has the other gateways told before the next regular report. */
    public fun reportSoon()
}
