package org.chestnutloom.edge.quota

/** Tells the other gateways what this one admitted. */
public interface UsageReporter {
    /** Gateways of the fleet, this one included. */
    public val fleetSize: Int

    /** Whether the others may have gone on without this gateway, and no longer leave its part of each rate to it. */
    public val isIsolated: Boolean

    /** Has the other gateways told before the next regular report. */
    public fun reportSoon()
}
