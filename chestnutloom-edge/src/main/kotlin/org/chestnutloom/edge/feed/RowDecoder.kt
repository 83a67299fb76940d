package org.chestnutloom.edge.feed

import arrow.core.Either
import org.chestnutloom.edge.config.EdgeConfiguration
import org.chestnutloom.edge.store.StoredRow
import org.chestnutloom.edge.target.TargetEntry
import org.chestnutloom.id.TargetId

/** Decodes the configuration and target rows of the platform's store. */
public interface RowDecoder {
    /** The table that holds the configuration. */
    public val configurationTable: String

    /** The table with one row per target. */
    public val targetTable: String

    /** Whether [row] of the configuration table holds the configuration. */
    public fun isConfiguration(row: StoredRow): Boolean

    /** Decodes the configuration in [row]. */
    public fun decodeConfiguration(row: StoredRow): Either<MalformedRow, EdgeConfiguration>

    /**
     * Returns the failure domain that [row] of the configuration table evacuates while it exists, or null if it is
     * another row. The row may have been removed.
     */
    public fun evacuatedDomain(row: StoredRow): String?

    /** Checks the content of [row], which evacuates a failure domain, and returns that. */
    public fun decodeEvacuation(row: StoredRow): Either<MalformedRow, String>

    /** Returns the id of the target that [row] of the target table describes. */
    public fun targetId(row: StoredRow): TargetId

    /** Decodes the target entry in [row]. */
    public fun decodeTarget(row: StoredRow): Either<MalformedRow, TargetEntry>
}
