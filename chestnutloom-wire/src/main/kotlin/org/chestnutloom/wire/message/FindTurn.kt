package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.id.CallId

/** Asks a gateway for a turn that may not be in the platform's store yet; the reply is one [TurnFound]. */
@Serializable
@SerialName("find-turn")
public data class FindTurn(
    public val turn: CallId,
) : LinkRequest
