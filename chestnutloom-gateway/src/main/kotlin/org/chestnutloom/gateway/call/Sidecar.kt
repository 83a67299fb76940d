package org.chestnutloom.gateway.call

import org.chestnutloom.id.Incarnation
import org.chestnutloom.id.TargetId
import org.chestnutloom.store.VmEntry
import org.chestnutloom.wire.link.PeerLink
import org.chestnutloom.wire.message.LoadReport
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration

/** The sidecar of one target, with the link to it and its last known load. */
internal class Sidecar(
    entry: VmEntry,
    val link: PeerLink,
) {
    /** The VM's latest entry in the platform's VM list. */
    @Volatile
    var entry: VmEntry = entry

    private val load = AtomicReference(SidecarLoad())

    /** The target that the sidecar serves. */
    val id: TargetId = TargetId(entry.id)

    /** The incarnation that the link last connected to, or null before the first connection. */
    val incarnation: Incarnation?
        get() = link.peer?.incarnation

    /** Returns the sidecar's last known load. */
    fun load(): SidecarLoad = load.get()

    /** Stores [report], which was received at [now]. */
    fun recordReport(
        report: LoadReport,
        now: Duration,
    ) {
        load.set(SidecarLoad(report, now, isWatched = true))
    }

    /** Marks that load reports no longer arrive. */
    fun markUnwatched() {
        load.updateAndGet { it.copy(isWatched = false) }
    }

    /** Counts a call with [promptTokens] that is being sent to the sidecar. */
    fun recordSentCall(promptTokens: Long) {
        load.updateAndGet {
            it.copy(
                sentSinceReport = it.sentSinceReport + 1,
                tokensSentSinceReport = it.tokensSentSinceReport + promptTokens,
            )
        }
    }
}
