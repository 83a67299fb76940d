package org.chestnutloom.edge.turn

import org.chestnutloom.id.GatewayRun
import kotlin.time.Duration

/** A turn that the store has not acknowledged yet; confined to the event loop. */
internal class UnsavedTurn(
    val record: TurnRecord,
    val bytes: ByteArray,
    var writer: GatewayRun,
) {
    /** The sequence number of the writer's last heartbeat when it sent this replica. */
    var writerHeartbeat = 0L

    /** The other gateway runs that hold the turn or were asked to by its writer. */
    val replicas = LinkedHashSet<GatewayRun>()

    /** Whether the first write failed, so that the turn has to be written later. */
    var isWriteOverdue = false

    /** Monotonic time since which the writer is unreachable, or null while it is reachable. */
    var writerUnreachableSince: Duration? = null
}
