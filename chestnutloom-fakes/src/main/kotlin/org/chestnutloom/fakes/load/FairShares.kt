package org.chestnutloom.fakes.load

/**
 * Divides capacity by weighted max-min fairness.
 *
 * No account gets more than its demand, and what it leaves goes to the others by their weights.
 */
internal fun fairShares(
    demands: Map<String, Double>,
    weights: Map<String, Int>,
    capacity: Double,
): Map<String, Double> {
    val shares = mutableMapOf<String, Double>()
    val open = demands.keys.toMutableSet()
    var left = capacity
    while (open.isNotEmpty()) {
        val perWeight = left / open.sumOf { weights.getValue(it) }
        val sated = open.filter { demands.getValue(it) <= perWeight * weights.getValue(it) }
        if (sated.isEmpty()) {
            open.forEach { shares[it] = perWeight * weights.getValue(it) }
            return shares
        }
        sated.forEach { shares[it] = demands.getValue(it) }
        left -= sated.sumOf(demands::getValue)
        open -= sated.toSet()
    }
    return shares
}
