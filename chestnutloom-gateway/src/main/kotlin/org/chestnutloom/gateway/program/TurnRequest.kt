package org.chestnutloom.gateway.program

import org.chestnutloom.config.EnvironmentSettings
import org.chestnutloom.gateway.body.TurnBody
import org.chestnutloom.gateway.control.Caller
import org.chestnutloom.id.ProgramId

/**
 * A caller's request to run one turn, as the owner of the program gets it.
 *
 * @property settings the settings in force when the request came
 * @property traceParent W3C trace context of the calling span
 */
internal data class TurnRequest(
    val program: ProgramId,
    val turnNumber: Int,
    val caller: Caller,
    val body: TurnBody,
    val settings: EnvironmentSettings,
    val traceParent: String?,
)
