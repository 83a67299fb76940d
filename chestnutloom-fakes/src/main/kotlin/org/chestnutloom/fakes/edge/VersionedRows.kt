package org.chestnutloom.fakes.edge

/** Thread-safe rows with a single version counter, which also orders the changes. */
internal class VersionedRows {
    private val rows = LinkedHashMap<String, VersionedRow>()
    private var historyStart = 0L

    /** The latest version. */
    @get:Synchronized
    var version: Long = 0
        private set

    /** Returns the rows of [partition] of [table], sorted by key. */
    @Synchronized
    fun read(
        table: String,
        partition: String,
    ): List<VersionedRow> =
        rows.values
            .filter { it.table == table && it.partition == partition && it.value != null }
            .sortedBy { it.key }

    /** Returns the rows of [table] that were written or removed after version [after], in version order. */
    @Synchronized
    fun changedAfter(
        table: String,
        after: Long,
    ): List<VersionedRow> = rows.values.filter { it.table == table && it.version > after }.sortedBy { it.version }

    /** Whether the history still covers every change after version [after]. */
    @Synchronized
    fun hasHistoryAfter(after: Long): Boolean = after >= historyStart

    /** Discards the history up to the current version. */
    @Synchronized
    fun discardHistory() {
        version++
        historyStart = version
    }

    /** Applies a transaction, or returns the current rows of [conditions] if one of them does not hold. */
    @Synchronized
    fun transact(
        conditions: List<VersionedRow>,
        puts: List<VersionedRow>,
        removals: List<VersionedRow>,
    ): List<VersionedRow>? {
        val current = conditions.mapNotNull { rows[idOf(it)] }.filter { it.value != null }
        val versions = current.associate { idOf(it) to it.version }
        if (conditions.any { (versions[idOf(it)] ?: 0) != it.version }) return current
        version++
        (puts + removals).forEach { rows[idOf(it)] = it.copy(version = version) }
        return null
    }

    private fun idOf(row: VersionedRow): String = "${row.table}/${row.partition}/${row.key}"
}
