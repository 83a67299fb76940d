@file:OptIn(ExperimentalSerializationApi::class)

package org.chestnutloom.wire.message

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/**
 * A row of the platform's store on its way between gateways.
 *
 * @property value the content; null for a row that is removed or only named
 * @property version the row's version, or the one that it must have
 */
@Serializable
public class RelayedRow(
    public val table: String,
    public val partition: String,
    public val key: String,
    @ByteString public val value: ByteArray?,
    public val version: Long,
)
