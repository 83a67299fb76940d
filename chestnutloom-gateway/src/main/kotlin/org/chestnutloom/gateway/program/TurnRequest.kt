package org.chestnutloom.gateway.program

import org.chestnutloom.config.EnvironmentSettings
import org.chestnutloom.gateway.body.TurnBody
import org.chestnutloom.gateway.control.Caller
import org.chestnutloom.id.ProgramId

/**
 * A caller's request to run one turn, as received by the program's owner.
 *
 * @property settings the settings that were current when the request was received
 * @property traceParent the W3C trace context of the parent span
 */
internal data class TurnRequest(
    val program: ProgramId,
    val turnNumber: Int,
    val caller: Caller,
    val body: TurnBody,
    val settings: EnvironmentSettings,
    val traceParent: String?,
)
