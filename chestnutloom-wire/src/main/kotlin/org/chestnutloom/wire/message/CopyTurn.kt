@file:OptIn(ExperimentalSerializationApi::class)

package org.chestnutloom.wire.message

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/**
 * Asks a gateway to keep a turn that the platform's store cannot take now; the reply is one [Done].
 *
 * @property record the encoded turn
 */
@Serializable
@SerialName("copy-turn")
public class CopyTurn(
    @ByteString public val record: ByteArray,
) : LinkRequest
