package org.chestnutloom.integration.proof

/**
 * An invariant that did not hold.
 *
 * @property invariant what must always hold
 * @property evidence what the logs show instead
 */
data class Violation(
    val invariant: String,
    val evidence: String,
)
