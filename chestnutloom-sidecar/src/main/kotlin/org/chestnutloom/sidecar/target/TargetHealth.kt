package org.chestnutloom.sidecar.target

/** Result of a health probe of the target. */
internal enum class TargetHealth {
    /** The target responds. */
    UP,

    /** The target's VM refuses connections, so no process is listening. */
    REFUSED,

    /** No response arrived in time. */
    SILENT,
}
