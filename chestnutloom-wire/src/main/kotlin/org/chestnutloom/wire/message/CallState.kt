package org.chestnutloom.wire.message

import kotlinx.serialization.Serializable

/** The state of a call at a sidecar. */
@Serializable
public enum class CallState {
    /** The call is in the queue. */
    QUEUED,

    /** The call is running at the target. */
    RUNNING,

    /** The call has ended, and its result is kept. */
    ENDED,

    /** The call never ran at this sidecar, which rejects its id from now on. */
    NOT_RUN,
}
