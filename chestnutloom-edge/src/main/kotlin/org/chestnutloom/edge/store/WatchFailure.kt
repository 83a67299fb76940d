package org.chestnutloom.edge.store

import org.chestnutloom.store.StoreFailure

/** Why watching a table brought nothing. */
public sealed interface WatchFailure {
    /** The store no longer has the changes that were asked for; the table has to be read again. */
    public data object HistoryLost : WatchFailure

    /** The store could not be reached or could not serve. */
    public data class Failed(
        public val cause: StoreFailure,
    ) : WatchFailure
}
