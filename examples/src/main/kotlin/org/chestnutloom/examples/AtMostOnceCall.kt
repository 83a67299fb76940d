package org.chestnutloom.examples

import org.chestnutloom.dedup.Claim
import org.chestnutloom.dedup.DeduplicationTable
import org.chestnutloom.dedup.RunState
import org.chestnutloom.dedup.deduplicationTable
import org.chestnutloom.id.CallId
import org.chestnutloom.store.Condition
import org.chestnutloom.store.RowWrite
import org.chestnutloom.store.TableStore
import org.chestnutloom.store.Transaction
import org.chestnutloom.store.memoryTableStore
import org.chestnutloom.time.systemClock

/** Runs payments at the payment service, as a sidecar runs calls at its target: each payment id at most once. */
class PaymentRunner {
    private val runs: DeduplicationTable<String> = deduplicationTable(systemClock(), maxIds = 1000)

    /** The number of payments made. */
    var paymentCount = 0
        private set

    /** Makes the payment unless its id was already run or fenced. */
    fun run(id: CallId): String =
        when (val claim = runs.claim(id, attempt = 1) { "receipt of $id" }) {
            is Claim.Acquired -> pay(id, claim.value)
            is Claim.Duplicate -> claim.value
            else -> "not run"
        }

    /** Returns the state of [id]; fences an id that has not run, so that it never will and the state stays correct. */
    fun query(id: CallId): RunState = runs.fence(id, includeQueued = true).state

    private fun pay(
        id: CallId,
        receipt: String,
    ): String {
        runs.start(id, attempt = 1)
        paymentCount += 1
        runs.end(id, attempt = 1, isRetryable = false)
        return receipt
    }
}

/** Makes a payment whose reply is lost, resolves its outcome and returns how many times it was made. */
suspend fun payOnce(): Int {
    val table = memoryTableStore()
    val runner = PaymentRunner()
    val id = CallId("payment-7")
    if (!recordIntent(table, id)) return 0

    runner.run(id) // The reply is lost here, so the caller queries the outcome instead of sending a second payment.
    val state = runner.query(id)
    if (state == RunState.NOT_RUN) runner.run(CallId("payment-7-again"))
    return runner.paymentCount
}

/** Records durably that the payment may be sent, so that a process that takes over queries its outcome. */
private suspend fun recordIntent(
    table: TableStore,
    id: CallId,
): Boolean {
    val key = "intent/${id.value}"
    val transaction = Transaction(listOf(Condition(key, Condition.ABSENT)), listOf(RowWrite(key, "sent to runner-1")))
    return table.transact(transaction).isRight()
}
