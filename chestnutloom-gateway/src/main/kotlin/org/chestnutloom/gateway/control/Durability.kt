package org.chestnutloom.gateway.control

/** Where a change is kept. */
public enum class Durability {
    /** The change is in the platform's store. */
    DURABLE,

    /** The change is in this gateway's memory only, until the store is back. */
    IN_MEMORY,
}
