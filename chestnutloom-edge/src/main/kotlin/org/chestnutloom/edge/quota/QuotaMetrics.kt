package org.chestnutloom.edge.quota

import io.micrometer.core.instrument.MeterRegistry

/** Counts how requests are admitted whose account's limit other gateways enforce. */
internal class QuotaMetrics(
    registry: MeterRegistry,
) {
    private val local = registry.counter("chestnutloom.edge.quota.local")
    private val remote = registry.counter("chestnutloom.edge.quota.remote")
    private val hedged = registry.counter("chestnutloom.edge.quota.hedged")

    /** Records a request that was admitted by a prefetched token. */
    fun recordLocal() {
        local.increment()
    }

    /** Records a request that waits for a replica. */
    fun recordRemote() {
        remote.increment()
    }

    /** Records that another replica is asked because a reply is late. */
    fun recordHedged() {
        hedged.increment()
    }
}
