@file:OptIn(ExperimentalSerializationApi::class)

package org.chestnutloom.wire.message

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.chestnutloom.id.GatewayRun

/**
 * Asks a gateway to hold a replica of a turn while the platform's store is unavailable; the reply is one [Done].
 *
 * @property record the encoded turn
 * @property writer the gateway incarnation that writes the turn once the store is available
 * @property writerHeartbeat the sequence number of the writer's latest heartbeat when it sent the replica
 * @property replicas the gateway incarnations that hold the turn; one of them writes it if the writer fails
 */
@Serializable
@SerialName("copy-turn")
public class CopyTurn(
    @ByteString public val record: ByteArray,
    public val writer: GatewayRun,
    @SerialName("writerBeat")
    public val writerHeartbeat: Long,
    @SerialName("keepers")
    public val replicas: List<GatewayRun>,
) : LinkRequest
