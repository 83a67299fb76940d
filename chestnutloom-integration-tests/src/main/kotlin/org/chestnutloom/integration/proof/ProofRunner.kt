package org.chestnutloom.integration.proof

import org.chestnutloom.integration.fleet.Fleet
import org.chestnutloom.mechanism.Mechanism
import kotlin.random.Random

/** Runs each proof on a separate fleet. */
object ProofRunner {
    /** Runs [proof] with its mechanisms enabled or disabled and returns the violations found. */
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
