package org.chestnutloom.fakes.engine

/**
 * How far an engine is with a request.
 *
 * @property tokens tokens generated so far
 * @property end how the request ended, or null while it goes on
 */
internal data class RunProgress(
    val tokens: Int,
    val end: RunEnd?,
)
