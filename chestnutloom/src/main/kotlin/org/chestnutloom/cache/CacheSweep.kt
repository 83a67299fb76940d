package org.chestnutloom.cache

import org.chestnutloom.id.ProgramId

/** The result of a sweep: the updated [table] and the programs whose cache is to be released. */
public data class CacheSweep(
    public val table: CacheLeaseTable,
    public val release: Set<ProgramId>,
)
