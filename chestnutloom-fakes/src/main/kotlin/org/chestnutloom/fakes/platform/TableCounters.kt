package org.chestnutloom.fakes.platform

import java.util.concurrent.atomic.LongAdder

/** The counters of a table service. */
internal class TableCounters {
    val reads = LongAdder()
    val transactions = LongAdder()
    val conflicts = LongAdder()
    val rowsWritten = LongAdder()
    val receivedBytes = LongAdder()
    val sentBytes = LongAdder()

    fun toStats(): TableStats =
        TableStats(
            reads = reads.sum(),
            transactions = transactions.sum(),
            conflicts = conflicts.sum(),
            rowsWritten = rowsWritten.sum(),
            receivedBytes = receivedBytes.sum(),
            sentBytes = sentBytes.sum(),
        )
}
