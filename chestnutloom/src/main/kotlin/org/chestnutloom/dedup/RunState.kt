package org.chestnutloom.dedup

/** Where a call stands that may run at most once. */
public enum class RunState {
    /** The call is claimed and waits for its start. */
    QUEUED,

    /** The call was started. */
    RUNNING,

    /** The call ran, or may have run, and is over. */
    ENDED,

    /** The call did not run, and repeats of it are refused. */
    NOT_RUN,
}
