package org.chestnutloom.gateway.control

/** Where a recorded change is stored. */
public enum class Durability {
    /** The change is in the platform's store. */
    DURABLE,

    /** The change is buffered in this gateway's memory until the store is available again. */
    IN_MEMORY,
}
