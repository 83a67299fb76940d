package org.chestnutloom.fakes.engine

/**
 * The progress of a request to an engine.
 *
 * @property tokens the number of tokens generated so far
 * @property outcome the outcome of the request, or null while it waits or runs
 */
internal data class RunProgress(
    val tokens: Int,
    val outcome: RunOutcome?,
)
