package org.chestnutloom.integration.benchmark

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/** Waits until [condition] holds, and fails after a minute. */
internal suspend fun until(condition: () -> Boolean) {
    withTimeout(1.minutes) { while (!condition()) delay(POLL_INTERVAL) }
}

private val POLL_INTERVAL = 10.milliseconds
