package org.chestnutloom.integration.prove

import kotlinx.coroutines.runBlocking
import org.chestnutloom.integration.proof.Proof
import org.chestnutloom.integration.proof.ProofRunner
import org.chestnutloom.integration.proof.allProofs
import kotlin.system.exitProcess

private const val DEFAULT_SEED = 20_261
private const val USAGE_EXIT_CODE = 2

/**
 * Runs proofs with their mechanisms disabled, if they name any, and enabled, and prints the violations found.
 *
 * Arguments: names of proofs (default: all) and `--seed=N`. Exits with 1 unless each proof is violated with its
 * mechanisms disabled and holds with its mechanisms enabled.
 */
fun main(arguments: Array<String>) {
    val seed = arguments.firstOrNull { it.startsWith("--seed=") }?.substringAfter('=')?.toInt() ?: DEFAULT_SEED
    val names = arguments.filterNot { it.startsWith("--") }
    val proofs = allProofs.filter { names.isEmpty() || it.name in names }
    if (proofs.isEmpty()) {
        println("known proofs: ${allProofs.joinToString { it.name }}")
        exitProcess(USAGE_EXIT_CODE)
    }
    val outcomes = runBlocking { proofs.map { outcome(it, seed) } }
    exitProcess(if (outcomes.all { it }) 0 else 1)
}

private suspend fun outcome(
    proof: Proof,
    seed: Int,
): Boolean {
    val hasMechanisms = proof.mechanisms.isNotEmpty()
    val violationsWithout = if (hasMechanisms) ProofRunner.run(proof, seed, withMechanisms = false) else emptyList()
    val violationsWith = ProofRunner.run(proof, seed, withMechanisms = true)
    println(
        "outcome=${proof.name} seed=$seed " +
            "violations_without=${violationsWithout.size} violations_with=${violationsWith.size}",
    )
    (violationsWithout.take(1) + violationsWith).forEach { println("  $it") }
    return (violationsWithout.isNotEmpty() || !hasMechanisms) && violationsWith.isEmpty()
}
