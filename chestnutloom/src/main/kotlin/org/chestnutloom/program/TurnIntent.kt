package org.chestnutloom.program

import kotlinx.serialization.Serializable
import org.chestnutloom.call.CallKind
import org.chestnutloom.id.CallId
import org.chestnutloom.id.Incarnation
import org.chestnutloom.id.TargetId

/**
 * The turn that a program is running, noted before its call leaves the gateway.
 *
 * @property bodyHash hash of the turn's body, by which a repeat of the turn is recognised
 * @property callee the model or plain service that is called
 * @property target the target whose sidecar is asked to run the call, or null when none is chosen yet
 * @property incarnation the run of that sidecar which gets the call
 * @property reserved the most that the call can cost
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
