package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.id.CallId

/** Tells a sidecar that the results of ended calls are durable and can be discarded; the reply is one [Done]. */
@Serializable
@SerialName("forget")
public data class ForgetCalls(
    public val ids: List<CallId>,
) : LinkRequest
