package org.chestnutloom.edge.quota

/** Reports the requests that this gateway admits to the other gateways. */
public interface UsageReporter {
    /** Whether the others may have unregistered this gateway, and so no longer leave it a share of each rate. */
    public val isIsolated: Boolean

    /** Requests a report before the next regular one. */
    public fun reportSoon()
}
