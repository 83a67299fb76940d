package org.chestnutloom.edge.turn

import org.chestnutloom.store.StoreFailure

/** Why a chain of turns could not be had. */
public sealed interface TurnFailure {
    /** There is no such turn, or it is another client account's. */
    public data object NotFound : TurnFailure

    /** The store could not say. */
    public data class StoreUnavailable(
        public val cause: StoreFailure,
    ) : TurnFailure

    /** The store has no such turn, but a gateway that may keep it could not be asked. */
    public data object GatewayUnavailable : TurnFailure
}
