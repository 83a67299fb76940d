package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.ProgramId

/**
 * Asks a gateway to release the unused part of its claim on a program's budget; the reply is one [Done].
 *
 * @property account the client account of the program, or null without one
 */
@Serializable
@SerialName("trim-budget")
public data class TrimBudget(
    public val program: ProgramId,
    public val account: ClientAccountId? = null,
) : LinkRequest
