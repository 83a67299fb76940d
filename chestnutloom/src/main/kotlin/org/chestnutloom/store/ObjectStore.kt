package org.chestnutloom.store

import arrow.core.Either

/** The platform's object store; objects are whole byte strings under a name. */
public interface ObjectStore {
    /** Stores [bytes] under [name]; storing the same object again is harmless. */
    public suspend fun put(
        name: String,
        bytes: ByteArray,
    ): Either<StoreFailure, Unit>

    /** Returns the object's bytes, or null when there is none. */
    public suspend fun get(name: String): Either<StoreFailure, ByteArray?>
}
