package org.chestnutloom.integration.edge

import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds

/** Waits until [holds], however long the machine takes; the test's own timeout ends it. */
suspend fun eventually(holds: suspend () -> Boolean) {
    while (!holds()) delay(10.milliseconds)
}
