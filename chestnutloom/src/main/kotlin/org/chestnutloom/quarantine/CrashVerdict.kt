package org.chestnutloom.quarantine

/** What crashes say of a body. */
public enum class CrashVerdict {
    /** The body was not in flight at any crash. */
    CLEAR,

    /** The body was in flight at one crash, and runs alone. */
    SUSPECT,

    /** The body was in flight at two crashes, and does not run any more. */
    QUARANTINED,
}
