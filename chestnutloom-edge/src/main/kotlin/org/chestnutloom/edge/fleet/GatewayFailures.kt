package org.chestnutloom.edge.fleet

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import org.chestnutloom.id.GatewayId

/** The failures of targets that belong to the state of one gateway in a heartbeat. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class GatewayFailures(
    public val gateway: GatewayId,
    public val failures: List<TargetFailures>,
)
