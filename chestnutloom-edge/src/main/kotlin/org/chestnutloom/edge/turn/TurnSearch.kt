package org.chestnutloom.edge.turn

/** The result of asking the other gateways for a turn. */
public sealed interface TurnSearch {
    /** A gateway holds the turn. */
    public class Found(
        public val record: ByteArray,
    ) : TurnSearch

    /** No gateway holds the turn. */
    public data object NotFound : TurnSearch

    /** A gateway that may hold the turn could not be asked. */
    public data object Inconclusive : TurnSearch
}
