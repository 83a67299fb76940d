package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Asks a gateway that can reach the platform's store to read a partition; the reply is one [StoreReply].
 *
 * @property after the key after which the rows in the reply begin, or null to begin with the first row
 */
@Serializable
@SerialName("read-store")
public data class ReadStore(
    public val table: String,
    public val partition: String,
    public val after: String? = null,
) : LinkRequest
