package org.chestnutloom.fakes.edge

/** How the stand-in of the row store misbehaves. */
public enum class StoreFault {
    /** Calls are served. */
    NONE,

    /** Calls are refused and have no effect. */
    REFUSE,

    /** Calls get no answer and have no effect. */
    SILENT,

    /** Changes take effect and get no answer. */
    LOSE_REPLIES,
}
