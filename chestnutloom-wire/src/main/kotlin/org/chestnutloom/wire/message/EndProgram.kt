package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.id.ProgramId

/** Tells a sidecar that a program has ended, so that the engine frees its cache; the reply is one [Done]. */
@Serializable
@SerialName("end-program")
public data class EndProgram(
    public val program: ProgramId,
) : LinkRequest
