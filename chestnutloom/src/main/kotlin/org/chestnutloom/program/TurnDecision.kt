package org.chestnutloom.program

import org.chestnutloom.call.Refusal

/** What to do with a request to run a turn. */
public sealed interface TurnDecision {
    /** The turn is the next one and may start. */
    public data object Start : TurnDecision

    /** The turn is the one under way. */
    public data object Attach : TurnDecision

    /** The turn has finished, and its record is the answer. */
    public data object Recorded : TurnDecision

    /** A turn before this one has not finished. */
    public data object Early : TurnDecision

    /** The turn must not run. */
    public data class Refuse(
        public val refusal: Refusal,
    ) : TurnDecision
}
