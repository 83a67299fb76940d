package org.chestnutloom.gateway.program

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.withLock
import org.chestnutloom.gateway.control.OwnershipTable
import org.chestnutloom.gateway.control.ProgramLocation
import org.chestnutloom.gateway.control.SettingsSource
import org.chestnutloom.id.ProgramId
import org.chestnutloom.program.ProgramState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Periodically ends programs that were idle for longer than the environment's abandonment limit. */
internal class AbandonedProgramSweeper(
    private val activity: ProgramActivity,
    private val registry: ProgramTreeRegistry,
    private val ender: ProgramEnder,
    private val ownership: OwnershipTable,
    private val settings: SettingsSource,
    private val scope: CoroutineScope,
    private val interval: Duration = SWEEP_INTERVAL,
) {
    /** Starts the periodic sweep. */
    fun start() {
        scope.launch {
            while (isActive) {
                delay(interval)
                sweep()
            }
        }
    }

    /** Ends all programs that currently exceed the limit. */
    suspend fun sweep() {
        val limit =
            settings.current.value
                ?.settings
                ?.limits
                ?.abandonAfter ?: return
        activity.takeIdle(limit).forEach { endIdle(it) }
    }

    private suspend fun endIdle(program: ProgramId) {
        val location = ownership.locate(program) as? ProgramLocation.Local ?: return
        registry.use(program, location.epoch) { tree ->
            val isBusy = tree.mutex.withLock { tree.running.isNotEmpty() }
            if (isBusy) activity.touch(program) else ender.end(tree, program, null, ProgramState.ABANDONED)
        }
    }

    private companion object {
        val SWEEP_INTERVAL = 1.seconds
    }
}
