package org.chestnutloom.gateway.call

import org.chestnutloom.id.Incarnation
import org.chestnutloom.id.TargetId
import org.chestnutloom.store.VmEntry
import org.chestnutloom.wire.link.PeerLink
import org.chestnutloom.wire.message.LoadReport
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration

/** One target's sidecar as this gateway knows it. */
internal class Sidecar(
    entry: VmEntry,
    val link: PeerLink,
) {
    /** The platform's newest entry for the VM. */
    @Volatile
    var entry: VmEntry = entry

    private val load = AtomicReference(SidecarLoad())

    /** The target beside the sidecar. */
    val id: TargetId = TargetId(entry.id)

    /** The run of the sidecar that the link reached last, or null before the first connection. */
    val incarnation: Incarnation?
        get() = link.peer?.incarnation

    /** What is known of the sidecar's load. */
    fun load(): SidecarLoad = load.get()

    /** Takes note of [report], received at [now]. */
    fun recordReport(
        report: LoadReport,
        now: Duration,
    ) {
        load.set(SidecarLoad(report, now, isWatched = true))
    }

    /** Takes note that reports do not arrive any more. */
    fun markUnwatched() {
        load.updateAndGet { it.copy(isWatched = false) }
    }

    /** Takes note of a call with [promptTokens] that is sent there. */
    fun recordSentCall(promptTokens: Long) {
        load.updateAndGet {
            it.copy(
                sentSinceReport = it.sentSinceReport + 1,
                tokensSentSinceReport = it.tokensSentSinceReport + promptTokens,
            )
        }
    }
}
