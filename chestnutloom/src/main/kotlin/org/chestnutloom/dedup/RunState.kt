package org.chestnutloom.dedup

/** The state of a call in a [DeduplicationTable]. */
public enum class RunState {
    /** The call is claimed and waiting to start. */
    QUEUED,

    /** The call was started. */
    RUNNING,

    /** The call has ended, and ran or may have run. */
    ENDED,

    /** The call did not run, and duplicates of it are refused. */
    NOT_RUN,
}
