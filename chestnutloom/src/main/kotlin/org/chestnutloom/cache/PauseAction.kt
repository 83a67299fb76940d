package org.chestnutloom.cache

/** What to do with a program's cache during a tool call. */
public enum class PauseAction {
    /** Keep the cache in the engine. */
    KEEP,

    /** Write the cache to the object store and free it in the engine. */
    EXPORT,

    /** Free the cache and recompute it on the next model call. */
    DROP,
}
