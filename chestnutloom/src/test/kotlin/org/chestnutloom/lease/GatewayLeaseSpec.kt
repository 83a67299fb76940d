package org.chestnutloom.lease

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.yield
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.Incarnation
import org.chestnutloom.store.Condition
import org.chestnutloom.store.MemoryTableStore
import org.chestnutloom.store.RowWrite
import org.chestnutloom.store.Transaction
import org.chestnutloom.store.decodeOrNull
import org.chestnutloom.store.memoryTableStore
import org.chestnutloom.store.rowJson
import org.chestnutloom.time.manualClock

private fun TestScope.lease(
    table: MemoryTableStore,
    incarnation: String,
    isFencingEnabled: Boolean = true,
): GatewayLease {
    val record = LeaseRecord(GatewayId("a"), Incarnation(incarnation), "10.0.0.1", 1, "siracusa")
    val options = LeaseOptions("trial", isFencingEnabled = isFencingEnabled)
    return gatewayLease(table, manualClock(), options, record, backgroundScope)
}

private suspend fun MemoryTableStore.value(key: String): String? = read(listOf(key)).getOrNull()?.firstOrNull()?.value

class GatewayLeaseSpec :
    DescribeSpec({
        describe("a gateway lease") {
            val write = listOf(RowWrite("x", "1"))

            it("rejects writes once a newer run of the process holds the lease") {
                runTest {
                    val table = memoryTableStore()
                    val old = lease(table, "1").also { it.acquire() }
                    lease(table, "2").acquire()
                    old.write(writes = write).leftOrNull() shouldBe LeaseFailure.NotHeld
                    table.value("x") shouldBe null
                }
            }

            it("accepts writes of a fenced process when fencing is disabled") {
                runTest {
                    val table = memoryTableStore()
                    val old = lease(table, "1", isFencingEnabled = false).also { it.acquire() }
                    lease(table, "2").acquire()
                    old.write(writes = write).isRight() shouldBe true
                    table.value("x") shouldBe "1"
                }
            }

            it("resolves writes with an unknown outcome, whether or not it was fenced") {
                runTest {
                    val table = memoryTableStore()
                    val lease = lease(table, "1").also { it.acquire() }
                    table.repliesToLose = 1
                    lease.write(writes = write).isRight() shouldBe true
                    table.requestsToHold = 1
                    lease.write(writes = listOf(RowWrite("x", "2"))).isRight() shouldBe true
                    table.releaseHeld()
                    table.value("x") shouldBe "2"
                    table.requestsToHold = 1
                    val result = launch { lease.write(writes = write).leftOrNull() shouldBe LeaseFailure.NotHeld }
                    while (table.requestsToHold > 0) yield()
                    fence(table, lease)
                    result.join()
                    table.releaseHeld()
                    table.value("x") shouldBe "2"
                }
            }

            it("remains usable when a caller is cancelled during its write") {
                runTest {
                    val table = memoryTableStore()
                    val lease = lease(table, "1").also { it.acquire() }
                    table.repliesToLose = 1
                    val caller = CoroutineScope(coroutineContext + Job())
                    val waiting = caller.launch { lease.write(writes = write) }
                    while (table.repliesToLose > 0) yield()
                    waiting.cancel()
                    lease.write(writes = listOf(RowWrite("y", "1"))).isRight() shouldBe true
                    table.value("x") shouldBe "1"
                }
            }

            it("reports a failed condition on another row and remains held") {
                runTest {
                    val table = memoryTableStore()
                    val lease = lease(table, "1").also { it.acquire() }
                    val result = lease.write(listOf(Condition("x", 7)), write)
                    result.leftOrNull().shouldBeInstanceOf<LeaseFailure.Conflict>().failedKeys shouldBe listOf("x")
                    lease.write(writes = write).isRight() shouldBe true
                }
            }

            it("acquires a new incarnation after it was fenced") {
                runTest {
                    val table = memoryTableStore()
                    val lease = lease(table, "1").also { it.acquire() }
                    fence(table, lease)
                    lease.write().leftOrNull() shouldBe LeaseFailure.NotHeld
                    lease.acquire().getOrNull()?.incarnation shouldBe Incarnation("1.2")
                }
            }
        }
    })

private suspend fun fence(
    table: MemoryTableStore,
    lease: GatewayLease,
) {
    val row = checkNotNull(table.read(listOf(lease.rowKey)).getOrNull()?.firstOrNull())
    val fenced = checkNotNull(row.decodeOrNull<LeaseRecord>()).copy(state = LeaseState.FENCED)
    table.transact(
        Transaction(listOf(Condition(row.key, row.version)), listOf(RowWrite(row.key, rowJson.encodeToString(fenced)))),
    )
}
