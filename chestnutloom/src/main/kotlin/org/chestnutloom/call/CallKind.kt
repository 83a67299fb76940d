package org.chestnutloom.call

import kotlinx.serialization.Serializable

/** The kind of work that a call requests from its target. */
@Serializable
public enum class CallKind {
    /** A completion from a model engine. */
    MODEL,

    /** A request to a plain service. */
    TOOL,
}
