package org.chestnutloom.gateway.call

import org.chestnutloom.id.KeyId
import org.chestnutloom.id.ProgramId

/**
 * A call that this gateway has at [sidecar].
 *
 * @property key the access key that the request came with, or null when it is not known or the route is open to all
 * @property program the program that the call is a turn of, or null
 */
internal class InFlightCall(
    val key: KeyId?,
    val program: ProgramId?,
    val sidecar: Sidecar,
)
