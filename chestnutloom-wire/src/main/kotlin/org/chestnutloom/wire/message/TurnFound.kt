@file:OptIn(ExperimentalSerializationApi::class)

package org.chestnutloom.wire.message

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/**
 * What a gateway has of a turn.
 *
 * @property record the encoded turn, or null when the gateway does not have it
 */
@Serializable
@SerialName("turn-found")
public class TurnFound(
    @ByteString public val record: ByteArray?,
) : LinkReply
