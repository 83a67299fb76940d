package org.chestnutloom.sidecar.call

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.chestnutloom.call.Refusal
import org.chestnutloom.dedup.Claim
import org.chestnutloom.dedup.DeduplicationTable
import org.chestnutloom.dedup.RunState
import org.chestnutloom.dedup.RunStatus
import org.chestnutloom.id.CallId
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.mechanism.Mechanisms
import org.chestnutloom.time.Clock
import org.chestnutloom.wire.link.PeerIdentity
import org.chestnutloom.wire.message.CallRefused
import org.chestnutloom.wire.message.CallRequest
import org.chestnutloom.wire.message.CallState
import org.chestnutloom.wire.message.CallStatus
import kotlin.time.Duration

/** Stores the calls of the sidecar and their answers, and deduplicates them by id. */
internal class CallRegistry(
    private val table: DeduplicationTable<CallRecord>,
    private val memory: AnswerMemory,
    private val clock: Clock,
    private val mechanisms: Mechanisms,
) {
    /** Returns the record of the call [id], or null if there is none. */
    fun find(id: CallId): CallRecord? = table.find(id)?.value

    /** Returns whether the call [id] is queued, running or ended. */
    fun mayHaveRun(id: CallId): Boolean = table.find(id).let { it != null && it.state != RunState.NOT_RUN }

    /** Returns the calls that are running at the target. */
    fun running(): List<CallRecord> = table.running()

    /** Returns the record for [request], and creates it if the call is new. */
    fun admit(
        sender: PeerIdentity,
        request: CallRequest,
    ): Either<Refusal, Admission> {
        if (!mechanisms.has(Mechanism.DUPLICATE_SUPPRESSION)) table.remove(request.id)
        val bytes = AnswerMemory.estimate(request)
        if (!memory.reserve(bytes)) return admitWithoutMemory(sender, request)
        val claim =
            table.claim(request.id, request.attempt) { CallRecord(request, sender, clock.elapsed(), bytes) }
        if (claim !is Claim.Acquired) memory.release(bytes)
        return admissionOf(claim, sender, request)
    }

    /** Marks [record] as running; returns false if it must not start. */
    fun start(record: CallRecord): Boolean = table.start(record.request.id, record.request.attempt)

    /** Marks [record] as ended; with [isRetryable], a higher attempt may run again. */
    fun end(
        record: CallRecord,
        isRetryable: Boolean,
    ) {
        table.end(record.request.id, record.request.attempt, isRetryable)
    }

    /** Marks [record] as not run, and releases its memory. */
    fun refuse(record: CallRecord) {
        val isRefused = table.markNotRun(record.request.id, record.request.attempt)
        if (isRefused) memory.release(record.reservedBytes)
    }

    /**
     * Returns the status of [id]; a call that is reported as not run is fenced, so that it never runs.
     *
     * An unknown call is always fenced, and a queued call only with [includeQueued].
     */
    fun fence(
        id: CallId,
        includeQueued: Boolean,
    ): RunStatus<CallRecord> {
        if (!mechanisms.has(Mechanism.NOT_RUN_FENCE)) return statusOf(id)
        val status = table.fence(id, includeQueued)
        if (status.state == RunState.NOT_RUN) status.value?.let { memory.release(it.reservedBytes) }
        return status
    }

    /** Removes the answers of [ids], which the gateways have stored durably. */
    fun forget(ids: List<CallId>) {
        ids.mapNotNull { table.forget(it) }.forEach { memory.release(it.reservedBytes) }
    }

    /** Removes answers and ids whose retention time has passed. */
    fun expire(
        answerRetention: Duration,
        idRetention: Duration,
    ) {
        val now = clock.elapsed()
        val removed = table.expireValues(now - answerRetention) + table.expireIds(now - idRetention)
        removed.forEach { memory.release(it.reservedBytes) }
    }

    /** Admits a new call or a retry, whose record replaces that of the earlier attempt. */
    private fun admitNew(claim: Claim.Acquired<CallRecord>): Either<Refusal, Admission> {
        claim.replaced?.let { memory.release(it.reservedBytes) }
        return Admission(claim.value, isNew = true).right()
    }

    private fun statusOf(id: CallId): RunStatus<CallRecord> = table.find(id) ?: RunStatus(RunState.NOT_RUN, null)

    /** Attaches to an existing record, or refuses the call and fences it against late duplicates. */
    private fun admitWithoutMemory(
        sender: PeerIdentity,
        request: CallRequest,
    ): Either<Refusal, Admission> {
        val claim = table.claim(request.id, request.attempt) { CallRecord(request, sender, clock.elapsed(), 0) }
        if (claim !is Claim.Acquired) return admissionOf(claim, sender, request)
        claim.replaced?.let { memory.release(it.reservedBytes) }
        table.markNotRun(request.id, request.attempt)
        claim.value.end(CallRefused(Refusals.memoryFull))
        return Refusals.memoryFull.left()
    }

    private fun admissionOf(
        claim: Claim<CallRecord>,
        sender: PeerIdentity,
        request: CallRequest,
    ): Either<Refusal, Admission> =
        when (claim) {
            is Claim.Acquired -> admitNew(claim)
            is Claim.Duplicate -> attach(claim.value, sender, request)
            Claim.Forgotten -> Refusals.forgotten.left()
            Claim.Fenced -> Refusals.fenced.left()
            Claim.TableFull -> Refusals.idsFull.left()
        }

    /** Attaches to the existing [record] and makes [sender] its current sender; refuses a different body. */
    private fun attach(
        record: CallRecord,
        sender: PeerIdentity,
        request: CallRequest,
    ): Either<Refusal, Admission> {
        if (record.request.bodyHash != request.bodyHash) return Refusals.mismatch.left()
        record.sender = sender
        return Admission(record, isNew = false).right()
    }

    companion object {
        /** Returns the reply to a query for a call with [status]. */
        fun statusReply(status: RunStatus<CallRecord>): CallStatus {
            if (status.state == RunState.NOT_RUN) return CallStatus(CallState.NOT_RUN)
            return status.value?.status() ?: CallStatus(CallState.ENDED, refusal = Refusals.forgotten)
        }
    }
}
