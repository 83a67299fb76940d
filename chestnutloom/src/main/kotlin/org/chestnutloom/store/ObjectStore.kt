package org.chestnutloom.store

import arrow.core.Either

/** The platform's object store, which maps names to byte arrays. */
public interface ObjectStore {
    /** Stores [bytes] under [name]; storing the same object again has no further effect. */
    public suspend fun put(
        name: String,
        bytes: ByteArray,
    ): Either<StoreFailure, Unit>

    /** Returns the bytes of the object, or null if it does not exist. */
    public suspend fun get(name: String): Either<StoreFailure, ByteArray?>
}
