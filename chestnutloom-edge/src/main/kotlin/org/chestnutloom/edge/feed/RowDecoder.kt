package org.chestnutloom.edge.feed

import arrow.core.Either
import org.chestnutloom.edge.config.EdgeConfiguration
import org.chestnutloom.edge.store.StoredRow
import org.chestnutloom.edge.target.TargetEntry
import org.chestnutloom.id.TargetId

/** Reads what operators and targets write into the platform's store. */
public interface RowDecoder {
    /** The table that holds the configuration. */
    public val configurationTable: String

    /** The table that holds one row for each target. */
    public val targetTable: String

    /** Whether [row] of the configuration table holds the configuration. */
    public fun isConfiguration(row: StoredRow): Boolean

    /** Reads the configuration in [row]. */
    public fun decodeConfiguration(row: StoredRow): Either<MalformedRow, EdgeConfiguration>

    /** Returns the target that [row] of the target table is about. */
    public fun targetId(row: StoredRow): TargetId

    /** Reads the target in [row]. */
    public fun decodeTarget(row: StoredRow): Either<MalformedRow, TargetEntry>
}
