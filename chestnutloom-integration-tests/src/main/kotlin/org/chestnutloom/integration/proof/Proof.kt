package org.chestnutloom.integration.proof

import org.chestnutloom.integration.fleet.Fleet
import org.chestnutloom.integration.fleet.FleetOptions
import org.chestnutloom.mechanism.Mechanism
import kotlin.random.Random

/**
 * One failure that a fleet of real processes goes through, and the invariants that must hold after it.
 *
 * @property name names the proof in reports and on the command line
 * @property mechanisms the mechanisms that keep the invariants; without them, the proof must find violations;
 *   empty when no single mechanism can be switched off
 * @property options the fleet to run; its disabled mechanisms are set by the runner
 */
interface Proof {
    val name: String
    val mechanisms: Set<Mechanism>
    val options: FleetOptions

    /** Brings about the failure and returns the violations that the logs of the stand-ins and callers show. */
    suspend fun violations(
        fleet: Fleet,
        random: Random,
    ): List<Violation>
}
