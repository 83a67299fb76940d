package org.chestnutloom.edge.feed

import org.chestnutloom.edge.store.StoredRow

/** Passes the contents and changes of a table to several listeners in order. */
internal class TableListeners(
    private vararg val listeners: TableListener,
) : TableListener {
    override fun onSnapshot(rows: List<StoredRow>) {
        listeners.forEach { it.onSnapshot(rows) }
    }

    override fun onChange(rows: List<StoredRow>) {
        listeners.forEach { it.onChange(rows) }
    }

    override fun onConfirmed() {
        listeners.forEach { it.onConfirmed() }
    }
}
