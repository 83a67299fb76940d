package org.chestnutloom.wire.link

import arrow.core.Either

/** Callbacks for what arrives on a connection; they must not block or suspend. */
internal interface ConnectionEvents {
    /** Handles a heartbeat whose proof age includes the upper bound of its transit time. */
    fun onHeartbeat(heartbeat: Heartbeat)

    /** Handles any other frame, or returns why it is not allowed. */
    fun onFrame(received: SizedFrame): Either<MalformedFrame, Unit>

    /** Called once when the connection has ended. */
    fun onEnded(failure: LinkFailure)
}
