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

    /** The other gateways that hold the turn or that its writer has asked to hold it. */
    val replicas = LinkedHashSet<GatewayRun>()

    /** Whether the first write failed, so that the turn has to be written later. */
    var isWriteOverdue = false

    /** The monotonic time at which the writer was first found unreachable, or null while it is reachable. */
    var writerUnreachableSince: Duration? = null
}
