package org.chestnutloom.cache

/** What to do with a program's cache while the program waits for a tool. */
public enum class PauseAction {
    /** Leave the cache in the engine. */
    KEEP,

    /** Write the cache to the object store, and free it. */
    EXPORT,

    /** Free the cache, and compute it again when the program returns. */
    DROP,
}
