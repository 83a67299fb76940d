package org.chestnutloom.program

import kotlinx.serialization.Serializable
import org.chestnutloom.call.CallKind
import org.chestnutloom.id.CallId
import org.chestnutloom.id.Incarnation
import org.chestnutloom.id.TargetId

/**
 * The turn in progress of a program, recorded before the gateway sends its call.
 *
 * @property bodyHash hash of the turn's body, used to recognize retries of the turn
 * @property callee the model or plain service that is called
 * @property target the target whose sidecar is to run the call, or null if none is chosen yet
 * @property incarnation the run of that sidecar that receives the call
 * @property reserved the maximum cost of the call
 */
@Serializable
public data class TurnIntent(
    public val turnNumber: Int,
    public val bodyHash: String,
    public val kind: CallKind,
    public val callee: String,
    public val call: CallId,
    public val idempotent: Boolean,
    public val reserved: Cost,
    public val target: TargetId? = null,
    public val incarnation: Incarnation? = null,
)
