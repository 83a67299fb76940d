package org.chestnutloom.call

import kotlinx.serialization.Serializable

/** What a call asks of its target. */
@Serializable
public enum class CallKind {
    /** A completion by a model engine. */
    MODEL,

    /** A request to a plain service. */
    TOOL,
}
