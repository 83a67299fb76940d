package org.chestnutloom.integration.proof

import org.chestnutloom.integration.fleet.Fleet
import org.chestnutloom.mechanism.Mechanism
import kotlin.random.Random

/** Runs a proof on a fleet of its own. */
object ProofRunner {
    /** Runs [proof] with its mechanisms on or off, and returns the violations that it found. */
    suspend fun run(
        proof: Proof,
        seed: Int,
        withMechanisms: Boolean,
    ): List<Violation> {
        val disabled: Set<Mechanism> = if (withMechanisms) emptySet() else proof.mechanisms
        val fleet = Fleet(proof.options.copy(disabled = disabled))
        println("proof=${proof.name} seed=$seed disabled=$disabled directory=${fleet.directory}")
        return fleet.use {
            it.start()
            proof.violations(it, Random(seed))
        }
    }
}
