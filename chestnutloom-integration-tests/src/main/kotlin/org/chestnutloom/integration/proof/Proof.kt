package org.chestnutloom.integration.proof

import org.chestnutloom.integration.fleet.Fleet
import org.chestnutloom.integration.fleet.FleetOptions
import org.chestnutloom.mechanism.Mechanism
import kotlin.random.Random

/**
 * A fault scenario for a fleet of real processes and the invariants that must hold in it.
 *
 * @property name identifies the proof in reports and on the command line
 * @property mechanisms the mechanisms that enforce the invariants; with these disabled, the proof must find violations;
 *   empty when no single mechanism can be disabled
 * @property options the fleet to run; its disabled mechanisms are set by the runner
 */
interface Proof {
    val name: String
    val mechanisms: Set<Mechanism>
    val options: FleetOptions

    /** Injects the fault and returns the violations found in the request logs of the stand-ins and the responses. */
    suspend fun violations(
        fleet: Fleet,
        random: Random,
    ): List<Violation>
}
