package org.chestnutloom.sidecar.schedule

import org.chestnutloom.sidecar.call.CallRecord

/** Starts calls that are taken from the queue. */
internal interface CallStarter {
    /** Returns whether no call may start at present. */
    fun isSuspended(): Boolean

    /** Returns whether no other call may run at the target at the same time as [record]. */
    fun mustRunAlone(record: CallRecord): Boolean

    /**
     * Starts [record] asynchronously, and calls [onEnd] when it ends.
     *
     * Returns false if the call must not run; its senders have then received a refusal.
     */
    fun start(
        record: CallRecord,
        onEnd: CallEndListener,
    ): Boolean
}
