package org.chestnutloom.edge.turn

import org.chestnutloom.store.StoreFailure

/** Why a chain of turns could not be loaded. */
public sealed interface TurnFailure {
    /** The turn does not exist or belongs to another client account. */
    public data object NotFound : TurnFailure

    /** The store could not be read, and no reachable gateway has the turn in its cache. */
    public data class StoreUnavailable(
        public val cause: StoreFailure,
    ) : TurnFailure
}
