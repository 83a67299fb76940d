package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The request took effect and has no other result. */
@Serializable
@SerialName("done")
public data object Done : LinkReply
