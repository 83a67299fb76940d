package org.chestnutloom.store

import arrow.core.Either

/** The platform's list of live and leaving VMs; it lags behind what is so. */
public interface VmList {
    /** Reads the list as the platform sees it now. */
    public suspend fun read(): Either<StoreFailure, List<VmEntry>>
}
