package org.chestnutloom.fakes.proxy

/**
 * The active fault of a link.
 *
 * @property generation incremented with each fault that is set, so that connections detect a change
 */
internal data class ActiveFault(
    val fault: LinkFault,
    val generation: Int,
)
