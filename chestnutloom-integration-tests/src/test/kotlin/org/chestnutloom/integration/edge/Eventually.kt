package org.chestnutloom.integration.edge

import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds

/** Waits until [condition], however long the machine takes; the test's own timeout ends it. */
suspend fun eventually(condition: suspend () -> Boolean) {
    while (!condition()) delay(10.milliseconds)
}
