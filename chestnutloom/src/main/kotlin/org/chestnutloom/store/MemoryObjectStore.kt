package org.chestnutloom.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.util.concurrent.ConcurrentHashMap

/** Returns an empty in-memory object store, for tests and experiments. */
public fun memoryObjectStore(): MemoryObjectStore = MemoryObjectStore()

/** An in-memory object store that can simulate outages. */
public class MemoryObjectStore internal constructor() : ObjectStore {
    private val objects = ConcurrentHashMap<String, ByteArray>()

    /** Whether every operation fails with [StoreFailure.Unavailable]. */
    @Volatile
    public var isDown: Boolean = false

    override suspend fun put(
        name: String,
        bytes: ByteArray,
    ): Either<StoreFailure, Unit> {
        if (isDown) return unavailable.left()
        objects[name] = bytes.copyOf()
        return Unit.right()
    }

    override suspend fun get(name: String): Either<StoreFailure, ByteArray?> {
        if (isDown) return unavailable.left()
        return objects[name]?.copyOf().right()
    }

    private companion object {
        val unavailable = StoreFailure.Unavailable("simulated outage")
    }
}
