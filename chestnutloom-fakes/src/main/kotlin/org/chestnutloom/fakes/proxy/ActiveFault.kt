package org.chestnutloom.fakes.proxy

/**
 * A fault in force.
 *
 * @property generation counts the faults of the link, so that a connection notices a new one
 */
internal data class ActiveFault(
    val fault: LinkFault,
    val generation: Int,
)
