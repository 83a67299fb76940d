package org.chestnutloom.edge.call

/** Why a target's response counts as complete. */
internal enum class CompletionEvidence {
    /** All bytes of its length have arrived. */
    LENGTH,

    /** Its last chunk has arrived. */
    LAST_CHUNK,

    /** It has no body. */
    NO_BODY,

    /** Its target closed the connection and still runs. */
    TARGET_ALIVE,
}
