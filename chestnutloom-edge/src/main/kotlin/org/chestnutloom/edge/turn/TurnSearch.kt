package org.chestnutloom.edge.turn

/** What came of asking other gateways for a turn. */
public sealed interface TurnSearch {
    /** A gateway has it. */
    public class Found(
        public val record: ByteArray,
    ) : TurnSearch

    /** No gateway has it. */
    public data object NotFound : TurnSearch

    /** A gateway that might have it could not be asked. */
    public data object Inconclusive : TurnSearch
}
