package org.chestnutloom.sidecar.schedule

import org.chestnutloom.sidecar.call.CallRecord

/** Starts calls that leave the queue. */
internal interface CallStarter {
    /** Tells whether no call may start for now. */
    fun isHolding(): Boolean

    /** Tells whether nothing else may run at the target beside [record]. */
    fun mustRunAlone(record: CallRecord): Boolean

    /**
     * Starts [record] without waiting for it, and calls [onEnd] when it is over.
     *
     * Returns false when the call must not run, which its senders have then been told.
     */
    fun start(
        record: CallRecord,
        onEnd: CallEndListener,
    ): Boolean
}
