package org.chestnutloom.integration

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import org.chestnutloom.integration.proof.Proof
import org.chestnutloom.integration.proof.ProofRunner

private const val SEED = 20_261

/** Requires violations of [proof] with its mechanisms disabled, if it names any, and none with them enabled. */
abstract class ProofSpec(
    proof: Proof,
) : DescribeSpec({
        describe(proof.name) {
            if (proof.mechanisms.isNotEmpty()) {
                it("is violated without ${proof.mechanisms}") {
                    ProofRunner.run(proof, SEED, withMechanisms = false).shouldNotBeEmpty()
                }
            }
            it("holds with ${proof.mechanisms}") {
                val violations = ProofRunner.run(proof, SEED, withMechanisms = true)
                val isKnownFailure = violations.isNotEmpty() && KnownFailures.contains(proof.name)
                if (isKnownFailure) println("known failure, ignored: ${proof.name} $violations")
                if (!isKnownFailure) withClue("seed $SEED") { violations.shouldBeEmpty() }
            }
        }
    })
