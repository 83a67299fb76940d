package org.chestnutloom.integration.proof

/**
 * A violated invariant.
 *
 * @property invariant what must always hold
 * @property evidence what was observed instead
 */
data class Violation(
    val invariant: String,
    val evidence: String,
)
