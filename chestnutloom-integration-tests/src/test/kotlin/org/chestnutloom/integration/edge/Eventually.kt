package org.chestnutloom.integration.edge

import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds

/** Polls until [condition] holds; only the timeout of the test limits the wait, as machines differ in speed. */
suspend fun eventually(condition: suspend () -> Boolean) {
    while (!condition()) delay(10.milliseconds)
}
