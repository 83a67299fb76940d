package org.chestnutloom.edge.crash

import org.chestnutloom.edge.target.TargetEntry
import org.chestnutloom.wire.link.PeerAddress

/**
 * One run of a target.
 *
 * @property name tells the run from those before and after it
 */
internal data class TargetRun(
    val name: String,
    val address: PeerAddress,
)

/** Returns the run that [entry] is about. */
internal fun runOf(entry: TargetEntry): TargetRun = TargetRun("${entry.id}@${entry.startedAtEpochMs}", entry.address)
