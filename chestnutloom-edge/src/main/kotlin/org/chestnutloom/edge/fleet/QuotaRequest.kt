package org.chestnutloom.edge.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.id.ClientAccountId

/**
 * Asks a replica of [account] to admit one request, and for tokens in advance.
 *
 * @property id identifies the request among those of the sender
 * @property startsProgram whether the request is the first one of a program
 * @property maxWaitMs the longest time that the request may wait for the account's rate, in milliseconds
 * @property count the number of tokens that the sender wants, the one of the request among them
 * @property loanMs how long after the sending of this message the sender may use the tokens, in milliseconds; 0 if it
 *   takes none in advance
 */
@Serializable
@SerialName("quota_request")
public data class QuotaRequest(
    public val id: Long,
    public val account: ClientAccountId,
    public val startsProgram: Boolean,
    public val maxWaitMs: Long,
    public val count: Int = 1,
    public val loanMs: Long = 0,
) : FleetMessage
