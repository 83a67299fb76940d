package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A gateway's own view of the table service.
 *
 * @property lastReadAgeMs age of its newest successful read, in milliseconds, or null when it never had one
 */
@Serializable
@SerialName("store-view")
public data class StoreStatus(
    public val lastReadAgeMs: Long?,
    public val configVersion: Long,
    public val keyVersion: Long,
) : LinkReply
