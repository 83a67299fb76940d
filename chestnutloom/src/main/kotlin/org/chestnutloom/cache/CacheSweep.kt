package org.chestnutloom.cache

import org.chestnutloom.id.ProgramId

/** The result of a sweep: the [table] after it, and the programs to [release]. */
public data class CacheSweep(
    public val table: CacheLeaseTable,
    public val release: Set<ProgramId>,
)
