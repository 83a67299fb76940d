package org.chestnutloom.sidecar.target

/** What a probe of the target found. */
internal enum class TargetHealth {
    /** The target answers. */
    UP,

    /** The target's VM refuses connections, so no process listens there. */
    REFUSED,

    /** No answer came in time. */
    SILENT,
}
