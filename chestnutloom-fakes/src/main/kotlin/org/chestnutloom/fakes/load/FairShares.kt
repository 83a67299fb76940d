package org.chestnutloom.fakes.load

/**
 * Divides [capacity] by weighted max-min fairness.
 *
 * No account gets more than its demand; the unused part of its share is divided among the others by weight.
 */
internal fun fairShares(
    demands: Map<String, Double>,
    weights: Map<String, Int>,
    capacity: Double,
): Map<String, Double> {
    val shares = mutableMapOf<String, Double>()
    val remaining = demands.keys.toMutableSet()
    var remainingCapacity = capacity
    while (remaining.isNotEmpty()) {
        val perWeight = remainingCapacity / remaining.sumOf { weights.getValue(it) }
        val satisfied = remaining.filter { demands.getValue(it) <= perWeight * weights.getValue(it) }
        if (satisfied.isEmpty()) {
            remaining.forEach { shares[it] = perWeight * weights.getValue(it) }
            return shares
        }
        satisfied.forEach { shares[it] = demands.getValue(it) }
        remainingCapacity -= satisfied.sumOf(demands::getValue)
        remaining -= satisfied.toSet()
    }
    return shares
}
