package org.chestnutloom.edge.store

import org.chestnutloom.store.StoreFailure

/** Why a change did not get its acknowledgement. */
public sealed interface ChangeFailure {
    /**
     * A condition did not hold, and nothing was changed.
     *
     * @property current the rows named in the conditions, as they stand
     */
    public class Conflict(
        public val current: List<StoredRow>,
    ) : ChangeFailure

    /** The store could not be reached or could not serve. */
    public data class Failed(
        public val cause: StoreFailure,
    ) : ChangeFailure
}
