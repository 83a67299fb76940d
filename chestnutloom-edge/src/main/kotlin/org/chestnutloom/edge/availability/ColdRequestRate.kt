package org.chestnutloom.edge.availability

/** The rate and burst of requests that one gateway may send to a cold target. */
internal data class ColdRequestRate(
    val requestsPerSecond: Double,
    val burstRequests: Double,
) {
    companion object {
        /** Allows no requests. */
        val NONE = ColdRequestRate(0.0, 0.0)
    }
}
