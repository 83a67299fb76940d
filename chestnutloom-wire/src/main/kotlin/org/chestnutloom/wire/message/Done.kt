package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Acknowledges a request that has no other result. */
@Serializable
@SerialName("done")
public data object Done : LinkReply
