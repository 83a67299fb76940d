package org.chestnutloom.quarantine

/** The quarantine status of a request body. */
public enum class CrashVerdict {
    /** The body was in flight at no crash. */
    CLEAR,

    /** The body was in flight at one crash and runs only alone on a target. */
    SUSPECT,

    /** The body was in flight at two or more crashes and is refused. */
    QUARANTINED,
}
