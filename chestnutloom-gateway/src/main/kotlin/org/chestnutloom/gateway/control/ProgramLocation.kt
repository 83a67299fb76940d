package org.chestnutloom.gateway.control

import org.chestnutloom.call.Refusal
import org.chestnutloom.wire.link.PeerLink

/** Where requests for a program have to run. */
public sealed interface ProgramLocation {
    /** This gateway owns the program; calls carry [epoch]. */
    public data class Local(
        public val epoch: Long,
    ) : ProgramLocation

    /** Another gateway owns the program. */
    public data class Remote(
        public val link: PeerLink,
    ) : ProgramLocation

    /** Nobody owns the program for now, or its owner cannot be reached. */
    public data class Unavailable(
        public val refusal: Refusal,
    ) : ProgramLocation
}
