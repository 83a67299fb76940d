package org.chestnutloom.edge.crash

import org.chestnutloom.edge.target.TargetEntry
import org.chestnutloom.wire.link.PeerAddress

/**
 * A single run of a target process.
 *
 * @property name identifies the run among all runs of the target
 */
internal data class TargetRun(
    val name: String,
    val address: PeerAddress,
)

/** Returns the run that [entry] describes. */
internal fun runOf(entry: TargetEntry): TargetRun = TargetRun("${entry.id}@${entry.startedAtEpochMs}", entry.address)
