package org.chestnutloom.edge.store

import org.chestnutloom.store.StoreFailure

/** The reason why a change was not acknowledged. */
public sealed interface ChangeFailure {
    /**
     * A condition did not hold, so nothing was changed.
     *
     * @property current the current rows that the conditions refer to
     */
    public class Conflict(
        public val current: List<StoredRow>,
    ) : ChangeFailure

    /** The store could not be reached or could not serve. */
    public data class Failed(
        public val cause: StoreFailure,
    ) : ChangeFailure
}
