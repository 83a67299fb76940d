package org.chestnutloom.edge.turn

import org.chestnutloom.store.StoreFailure

/** Why a chain of turns could not be loaded. */
public sealed interface TurnFailure {
    /** The turn does not exist or belongs to another client account. */
    public data object NotFound : TurnFailure

    /** The turn could not be read from the store, and no reachable gateway has it in its cache. */
    public data class StoreUnavailable(
        public val cause: StoreFailure,
    ) : TurnFailure

    /** The chain is larger than this gateway can ever hold. */
    public data object TooLarge : TurnFailure

    /** The chain does not fit beside those of the calls in progress. */
    public data object NoMemory : TurnFailure
}
