package org.chestnutloom.edge.budget

import kotlinx.serialization.Serializable
import org.chestnutloom.id.CallId

/**
 * A turn whose end was not known when a claim was written.
 *
 * @property turn the call id of the turn
 * @property tokens the maximum number of tokens that the turn generates
 */
@Serializable
public data class PendingTurn(
    public val turn: CallId,
    public val tokens: Long,
)
