package org.chestnutloom.gateway.control

import org.chestnutloom.call.Refusal
import org.chestnutloom.wire.link.PeerLink

/** The gateway that must run requests for a program. */
public sealed interface ProgramLocation {
    /** This gateway owns the program in ownership epoch [epoch], which its calls carry. */
    public data class Local(
        public val epoch: Long,
    ) : ProgramLocation

    /** Another gateway owns the program. */
    public data class Remote(
        public val link: PeerLink,
    ) : ProgramLocation

    /** The program has no owner, or the owner is unknown or unreachable. */
    public data class Unavailable(
        public val refusal: Refusal,
    ) : ProgramLocation
}
