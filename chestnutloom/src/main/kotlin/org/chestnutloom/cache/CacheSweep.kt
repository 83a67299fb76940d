package org.chestnutloom.cache

import org.chestnutloom.id.ProgramId

/** The result of a sweep: the [ledger] after it, and the programs to [release]. */
public data class CacheSweep(
    public val ledger: CacheLedger,
    public val release: Set<ProgramId>,
)
