@file:OptIn(ExperimentalSerializationApi::class)

package org.chestnutloom.wire.message

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/**
 * A row of the platform's store as transferred between gateways.
 *
 * @property value the content; null for a removed row, and where the message only needs the key
 * @property version the row's version, or the required version in a condition
 */
@Serializable
public class RelayedRow(
    public val table: String,
    public val partition: String,
    public val key: String,
    @ByteString public val value: ByteArray?,
    public val version: Long,
)
