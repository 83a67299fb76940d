package org.chestnutloom.edge.call

import org.chestnutloom.edge.http.ResponseFraming

/** Why a target's response counts as complete. */
internal enum class CompletionEvidence {
    /** All bytes of its length have arrived. */
    LENGTH,

    /** Its last chunk has arrived. */
    LAST_CHUNK,

    /** Its connection has ended. */
    CONNECTION_END,
}

/** Returns the evidence that the end of a response with [framing] gives. */
internal fun evidenceOf(framing: ResponseFraming): CompletionEvidence =
    when (framing) {
        ResponseFraming.LENGTH -> CompletionEvidence.LENGTH
        ResponseFraming.CHUNKS -> CompletionEvidence.LAST_CHUNK
        ResponseFraming.CONNECTION -> CompletionEvidence.CONNECTION_END
    }
