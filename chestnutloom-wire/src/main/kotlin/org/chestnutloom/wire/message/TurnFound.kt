@file:OptIn(ExperimentalSerializationApi::class)

package org.chestnutloom.wire.message

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/**
 * The copy of a turn that a gateway holds, if any.
 *
 * @property record the encoded turn, or null if the gateway does not have it
 */
@Serializable
@SerialName("turn-found")
public class TurnFound(
    @ByteString public val record: ByteArray?,
) : LinkReply
