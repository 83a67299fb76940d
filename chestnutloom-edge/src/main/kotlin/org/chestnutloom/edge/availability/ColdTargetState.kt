package org.chestnutloom.edge.availability

import org.chestnutloom.edge.target.TargetEntry
import kotlin.time.Duration

/**
 * What this gateway knows of a target that may be cold; confined to the event loop.
 *
 * @property coldUntil when the target will be warm, on the monotonic clock
 */
internal class ColdTargetState {
    var entry: TargetEntry? = null
    var coldUntil: Duration = Duration.ZERO
    val bucket = ColdRequestBucket()
}
