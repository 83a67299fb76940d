package org.chestnutloom.edge.store

/** The limits of the platform's store; it refuses each call that exceeds one of them. */
public object StoreLimits {
    /** The largest number of conditions, writes and removals in one change. */
    public const val MAX_CHANGE_ENTRIES: Int = 100

    /** The largest total size of the values in one change. In base64, with the keys, it stays below 1 MB. */
    public const val MAX_CHANGE_BYTES: Int = 640 * 1024

    /** The largest size of a table, a partition or a key, in UTF-8. */
    public const val MAX_NAME_BYTES: Int = 200

    /** Returns whether [name] can be a table, a partition or a key. */
    public fun allowsName(name: String): Boolean = name.encodeToByteArray().size <= MAX_NAME_BYTES
}
