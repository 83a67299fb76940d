package org.chestnutloom.store

import arrow.core.Either

/** The platform's list of live and leaving VMs, which may be out of date. */
public interface VmList {
    /** Reads the current list. */
    public suspend fun read(): Either<StoreFailure, List<VmEntry>>
}
