package org.chestnutloom.fakes.engine

/** Receives the start and the end of each request of a [Batch]. */
internal interface BatchListener {
    fun started(run: EngineRun)

    fun ended(
        run: EngineRun,
        tokens: Int,
        outcome: RunOutcome,
    )
}
