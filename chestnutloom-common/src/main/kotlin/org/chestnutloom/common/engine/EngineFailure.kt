package org.chestnutloom.common.engine

/** Why a model engine did not do what it was asked. */
public sealed interface EngineFailure {
    /** No connection could be made, so the engine did nothing. */
    public data class Unreachable(
        public val detail: String,
    ) : EngineFailure

    /** No whole answer came, so the engine may have done it. */
    public data class NoAnswer(
        public val detail: String,
    ) : EngineFailure

    /** The engine knows no such request or object. */
    public data object NotFound : EngineFailure

    /**
     * The engine refused an order that carries an old fencing number.
     *
     * @property fencing the newest number that the engine has seen
     */
    public data class Fenced(
        public val fencing: Long,
    ) : EngineFailure

    /** The engine answered with another error status. */
    public data class Rejected(
        public val status: Int,
    ) : EngineFailure

    /** The engine's answer cannot be read. */
    public data class Malformed(
        public val detail: String,
    ) : EngineFailure
}
