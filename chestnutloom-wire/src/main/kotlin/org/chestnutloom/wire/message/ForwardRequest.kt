package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.KeyId
import org.chestnutloom.id.ProgramId

/**
 * Hands a caller's request to the gateway that owns its program.
 *
 * Replies: any number of [ForwardedEvent]s, then one [ForwardedAnswer].
 *
 * @property operation what the caller asked for
 * @property turnNumber the turn, for operations on a turn
 * @property body the caller's JSON body, empty when there is none
 * @property hops how often the request was handed on; owners refuse more than one
 */
@Serializable
@SerialName("forward")
public data class ForwardRequest(
    public val operation: ProgramOperation,
    public val program: ProgramId,
    public val turnNumber: Int?,
    public val account: ClientAccountId,
    public val key: KeyId,
    public val requestId: String,
    public val body: String,
    public val hops: Int,
    public val traceParent: String?,
) : LinkRequest
