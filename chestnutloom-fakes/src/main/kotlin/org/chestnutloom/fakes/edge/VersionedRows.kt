package org.chestnutloom.fakes.edge

/** Rows with one counter of versions, which is also the order of their changes; safe for many threads. */
internal class VersionedRows {
    private val rows = LinkedHashMap<String, NamedRow>()
    private var oldestKnown = 0L

    /** The newest version. */
    @get:Synchronized
    var version: Long = 0
        private set

    /** Returns the rows of [partition] in the order of their keys. */
    @Synchronized
    fun read(
        table: String,
        partition: String,
    ): List<NamedRow> =
        rows.values
            .filter { it.table == table && it.partition == partition && it.value != null }
            .sortedBy { it.key }

    /** Returns the rows of [table] that were written or removed after [after]. */
    @Synchronized
    fun changedAfter(
        table: String,
        after: Long,
    ): List<NamedRow> = rows.values.filter { it.table == table && it.version > after }.sortedBy { it.version }

    /** Whether every change after [after] is still known. */
    @Synchronized
    fun knowsHistoryAfter(after: Long): Boolean = after >= oldestKnown

    /** Forgets the changes up to now. */
    @Synchronized
    fun discardHistory() {
        version++
        oldestKnown = version
    }

    /** Applies a change, or returns the rows named in [conditions] when one of them does not hold. */
    @Synchronized
    fun change(
        conditions: List<NamedRow>,
        puts: List<NamedRow>,
        removals: List<NamedRow>,
    ): List<NamedRow>? {
        val current = conditions.mapNotNull { rows[nameOf(it)] }.filter { it.value != null }
        val versions = current.associate { nameOf(it) to it.version }
        if (conditions.any { (versions[nameOf(it)] ?: 0) != it.version }) return current
        version++
        (puts + removals).forEach { rows[nameOf(it)] = it.copy(version = version) }
        return null
    }

    private fun nameOf(row: NamedRow): String = "${row.table}/${row.partition}/${row.key}"
}
