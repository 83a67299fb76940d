package org.chestnutloom.wire.link

import arrow.core.Either

/** What an end of a connection does with what arrives; no function may wait. */
internal interface ConnectionEvents {
    /** Takes a heartbeat whose proof age includes the longest time that it may have been under way. */
    fun heartbeat(heartbeat: Heartbeat)

    /** Takes any other frame, or says why it is not allowed. */
    fun frame(received: SizedFrame): Either<MalformedFrame, Unit>

    /** Learns that the connection has ended. */
    fun ended(failure: LinkFailure)
}
