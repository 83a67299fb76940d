package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.KeyId
import org.chestnutloom.id.ProgramId

/**
 * Forwards a caller's request to the gateway that owns the program.
 *
 * Replies: any number of [ForwardedEvent]s, then one [ForwardedAnswer].
 *
 * @property operation the requested operation
 * @property turnNumber the turn number, for operations on a turn
 * @property body the JSON body of the request, or empty if there is none
 * @property hops how often the request was forwarded; the receiver rejects more than one hop
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
