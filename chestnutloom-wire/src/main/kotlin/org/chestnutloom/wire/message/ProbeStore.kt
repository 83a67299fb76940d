package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Asks a peer gateway whether it can reach the table service; the reply is one [StoreStatus]. */
@Serializable
@SerialName("probe-store")
public data object ProbeStore : LinkRequest
