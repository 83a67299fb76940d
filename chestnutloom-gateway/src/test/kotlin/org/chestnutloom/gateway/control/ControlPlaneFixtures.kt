package org.chestnutloom.gateway.control

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.json.JsonPrimitive
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.ProgramId
import org.chestnutloom.lease.LeaseRecord
import org.chestnutloom.store.decodeOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

internal val testAccount = ClientAccountId("ward-9")
internal val program = ProgramId("p1")

internal fun change(
    state: String,
    vararg turns: Pair<Int, String>,
    of: ProgramId = program,
) = JournalChange(of, JsonPrimitive(state), turns.associate { (n, record) -> n to JsonPrimitive(record) })

internal fun withTestFleet(body: suspend TestScope.(TestFleet) -> Unit) =
    runTest {
        val fleet = TestFleet(this)
        fleet.accept("ward-9=10/5")
        withTimeout(10.minutes) { body(fleet) }
    }

internal suspend fun TestGateway.awaitReady() = eventually { plane.isReady && plane.proof.check().isRight() }

internal suspend fun TestGateway.awaitOwning(program: ProgramId) =
    eventually { plane.ownership.locate(program) is ProgramLocation.Local }

internal suspend fun TestFleet.lease(id: String): LeaseRecord? =
    row("gateway/$ENVIRONMENT/$id")?.decodeOrNull<LeaseRecord>()

/** Waits in virtual time until [condition] holds. */
internal suspend fun eventually(
    within: Duration = 60.seconds,
    condition: suspend () -> Boolean,
) {
    withTimeout(within) {
        while (!condition()) delay(10.milliseconds)
    }
}
