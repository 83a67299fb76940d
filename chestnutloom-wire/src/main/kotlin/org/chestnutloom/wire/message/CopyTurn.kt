@file:OptIn(ExperimentalSerializationApi::class)

package org.chestnutloom.wire.message

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.chestnutloom.id.GatewayRun

/**
 * Asks a gateway to keep a turn that the platform's store cannot take now; the reply is one [Done].
 *
 * @property record the encoded turn
 * @property writer the run that writes the turn once the store is back
 * @property writerHeartbeat the number of the writer's newest beat when it made the copy
 * @property replicas the runs that are to keep the turn; one of them takes over if the writer is lost
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
