package org.chestnutloom.examples

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.Incarnation
import org.chestnutloom.lease.GatewayLease
import org.chestnutloom.lease.LeaseOptions
import org.chestnutloom.lease.LeaseRecord
import org.chestnutloom.lease.gatewayLease
import org.chestnutloom.store.RowWrite
import org.chestnutloom.store.TableStore
import org.chestnutloom.store.memoryTableStore
import org.chestnutloom.time.systemClock

/**
 * Replaces a paused incarnation of a process by a newer one, and returns the final value of the row they write.
 *
 * The paused incarnation does not know that it was replaced. Its write is still refused, because each write is
 * conditional on the version of the lease row that the incarnation wrote last.
 */
suspend fun replacePausedHolder(): String? =
    coroutineScope {
        val table = memoryTableStore()
        val paused = leaseOf(table, "run-1", this)
        paused.acquire()
        paused.write(writes = listOf(RowWrite("order/7", "confirmed by run-1")))

        val successor = leaseOf(table, "run-2", this)
        successor.acquire()
        successor.write(writes = listOf(RowWrite("order/7", "shipped by run-2")))

        paused
            .write(writes = listOf(RowWrite("order/7", "cancelled by run-1")))
            .onLeft { println("refused: $it") }
        table
            .read(listOf("order/7"))
            .getOrNull()
            ?.first()
            ?.value
    }

private fun leaseOf(
    table: TableStore,
    incarnation: String,
    scope: CoroutineScope,
): GatewayLease {
    val record = LeaseRecord(GatewayId("gw-1"), Incarnation(incarnation), "10.0.0.7", 7400, "siracusa")
    return gatewayLease(table, systemClock(), LeaseOptions("trial"), record, scope)
}
