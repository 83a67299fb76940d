package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * When a gateway last read the table service, and the versions it read.
 *
 * @property lastReadAgeMs age of its latest successful read, in milliseconds, or null if there was none
 */
@Serializable
@SerialName("store-view")
public data class StoreStatus(
    public val lastReadAgeMs: Long?,
    public val configVersion: Long,
    public val keyVersion: Long,
) : LinkReply
