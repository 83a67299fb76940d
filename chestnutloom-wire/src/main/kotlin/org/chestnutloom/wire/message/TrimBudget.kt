package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.id.ProgramId

/** Asks a gateway to give back what it claimed of a program's budget and does not need now; the reply is one [Done]. */
@Serializable
@SerialName("trim-budget")
public data class TrimBudget(
    public val program: ProgramId,
) : LinkRequest
