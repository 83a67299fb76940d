package org.chestnutloom.wire.message

import kotlinx.serialization.Serializable

/** What a sidecar knows of a call. */
@Serializable
public enum class CallState {
    /** The call waits in the queue. */
    QUEUED,

    /** The call runs at the target. */
    RUNNING,

    /** The call ended, and its answer is kept. */
    ENDED,

    /** The call never ran here; from now on the sidecar refuses its id. */
    NOT_RUN,
}
