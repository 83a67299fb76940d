package org.chestnutloom.edge.feed

import org.chestnutloom.edge.store.StoredRow

/** Is told what a table holds. */
public interface TableListener {
    /** The table holds exactly [rows]. */
    public fun onSnapshot(rows: List<StoredRow>)

    /** Some [rows] were written or removed, in this order. */
    public fun onChange(rows: List<StoredRow>)

    /** The store answered, so that everything told so far is complete as of now. */
    public fun onConfirmed() {}
}
