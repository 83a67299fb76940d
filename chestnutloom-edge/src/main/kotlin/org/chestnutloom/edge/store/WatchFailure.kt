package org.chestnutloom.edge.store

import org.chestnutloom.store.StoreFailure

/** The reason why a watch of a table failed. */
public sealed interface WatchFailure {
    /** The store has discarded the requested changes, so the table has to be read again. */
    public data object HistoryLost : WatchFailure

    /** The store could not be reached or could not serve. */
    public data class Failed(
        public val cause: StoreFailure,
    ) : WatchFailure
}
