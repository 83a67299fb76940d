package org.chestnutloom.program

import org.chestnutloom.call.Refusal

/** How to handle a request to run a turn. */
public sealed interface TurnDecision {
    /** The turn is next and may start. */
    public data object Start : TurnDecision

    /** The turn is in progress, and the request attaches to it. */
    public data object Attach : TurnDecision

    /** The turn is completed, and its record is returned. */
    public data object Recorded : TurnDecision

    /** An earlier turn is not completed. */
    public data object Early : TurnDecision

    /** The turn must not run. */
    public data class Refuse(
        public val refusal: Refusal,
    ) : TurnDecision
}
