package org.chestnutloom.edge.turn

import org.chestnutloom.store.StoreFailure

/** Why a chain of turns could not be loaded. */
public sealed interface TurnFailure {
    /** The turn does not exist or belongs to another client account. */
    public data object NotFound : TurnFailure

    /** The store could not be read. */
    public data class StoreUnavailable(
        public val cause: StoreFailure,
    ) : TurnFailure

    /** The store does not hold the turn, and a gateway that may hold it could not be asked. */
    public data object GatewayUnavailable : TurnFailure
}
