package org.chestnutloom.common.engine

/** Why a request to a model engine failed. */
public sealed interface EngineFailure {
    /** The connection failed, so the engine did not receive the request. */
    public data class Unreachable(
        public val detail: String,
    ) : EngineFailure

    /** The request may have been processed, but no complete response arrived. */
    public data class NoResponse(
        public val detail: String,
    ) : EngineFailure

    /** The engine has no such request or object. */
    public data object NotFound : EngineFailure

    /**
     * The engine rejected an order with a stale fencing token.
     *
     * @property fencing the highest fencing token that the engine has seen
     */
    public data class Fenced(
        public val fencing: Long,
    ) : EngineFailure

    /** The engine returned another error status. */
    public data class Rejected(
        public val status: Int,
    ) : EngineFailure

    /** The response body could not be decoded. */
    public data class Malformed(
        public val detail: String,
    ) : EngineFailure
}
