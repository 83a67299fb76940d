package org.chestnutloom.edge.feed

import org.chestnutloom.edge.store.StoredRow

/** Receives the contents and changes of a table. */
public interface TableListener {
    /** The table was read and holds exactly [rows]. */
    public fun onSnapshot(rows: List<StoredRow>)

    /** The given [rows] were written or removed, in this order. */
    public fun onChange(rows: List<StoredRow>)

    /** The store responded, so everything delivered so far is up to date. */
    public fun onConfirmed() {}
}
