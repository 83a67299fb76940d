package org.chestnutloom.gateway.call

import org.chestnutloom.id.KeyId
import org.chestnutloom.id.ProgramId

/**
 * A call that waits or runs at [sidecar].
 *
 * @property key the access key of the request, or null for a recovered call or on an open route
 * @property program the program whose turn made the call, or null
 */
internal class InFlightCall(
    val key: KeyId?,
    val program: ProgramId?,
    val sidecar: Sidecar,
)
