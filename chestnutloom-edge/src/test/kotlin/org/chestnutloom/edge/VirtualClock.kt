package org.chestnutloom.edge

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import org.chestnutloom.time.Clock
import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A clock that returns the virtual time of [test]. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class VirtualClock(
    private val test: TestScope,
) : Clock {
    override fun now(): Instant = Instant.ofEpochMilli(test.currentTime)

    override fun elapsed(): Duration = test.currentTime.milliseconds
}
