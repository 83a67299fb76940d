package org.chestnutloom.fakes.engine

/** Is told when requests begin and end to run. */
internal interface BatchListener {
    fun started(run: EngineRun)

    fun ended(
        run: EngineRun,
        tokens: Int,
        end: RunEnd,
    )
}
