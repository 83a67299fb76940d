package org.chestnutloom.gateway.control

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonElement
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.gateway.GatewaySettings
import org.chestnutloom.id.ProgramId
import org.chestnutloom.membership.slotOf
import org.chestnutloom.store.Condition
import org.chestnutloom.store.TableStore
import org.chestnutloom.store.decodeOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** The journal of one gateway: a cache of the programs that it owns, and a queue of changes for group commits. */
internal class GroupCommitJournal(
    private val settings: GatewaySettings,
    private val table: TableStore,
    private val segments: SegmentStore,
    private val committer: GroupCommitter,
    private val slots: SlotTable,
) : Journal {
    private val lock = Any()
    private val programs = ProgramCache()
    private val queue = ChangeQueue()
    private val signal = Channel<Unit>(Channel.CONFLATED)

    /** Whether the last commit failed because the store was unavailable, or its outcome is unknown. */
    @Volatile
    var isStoreUnavailable: Boolean = false
        private set

    /** The number of changes that are not yet durable. */
    val pendingCount: Int
        get() = synchronized(lock) { queue.size }

    override suspend fun load(program: ProgramId): Either<JournalFailure, JsonElement?> =
        entry(program).map { entry -> synchronized(lock) { programs.newestState(program, entry) } }

    override suspend fun loadTurn(
        program: ProgramId,
        turnNumber: Int,
    ): Either<JournalFailure, JsonElement?> =
        either {
            val entry = entry(program).bind()
            val position =
                synchronized(lock) {
                    pendingTurn(program, entry, turnNumber)?.let { return@either it }
                    entry.turns[turnNumber]
                }
            position?.let { found ->
                segments.get(found).mapLeft { JournalFailure.StoreUnavailable(it.toString()) }.bind()
            }
        }

    override fun markNew(program: ProgramId) {
        val epoch = epochOf(program) ?: return
        synchronized(lock) {
            if (programs.get(program, epoch) == null) {
                programs.put(program, ProgramEntry(epoch, Condition.ABSENT, null, mutableMapOf()))
            }
        }
    }

    override suspend fun commit(change: JournalChange): Either<JournalFailure, Unit> =
        record(PendingChange(change, canBuffer = false)).map { }

    override suspend fun commitOrBuffer(change: JournalChange): Either<JournalFailure, Durability> =
        record(PendingChange(change, canBuffer = true))

    /** Commits groups of changes until cancelled. */
    suspend fun run() {
        while (true) {
            while (commitNextGroup()) delay(groupInterval)
            signal.receive()
        }
    }

    /** Returns whether any program in [slot] has changes that are not yet durable. */
    fun hasPending(slot: Int): Boolean =
        synchronized(lock) { queue.all().any { slotOf(it.change.program, settings.slots) == slot } }

    /** Clears all state after the lease was lost; pending changes fail. */
    fun reset() {
        val dropped = synchronized(lock) { queue.all().also { queue.remove(it) } }
        synchronized(lock) { programs.clear() }
        dropped.forEach { it.fail(JournalFailure.NotOwner) }
        val bufferedCount = dropped.count { it.canBuffer }
        if (bufferedCount > 0) logger.warnEvent("journal_changes_lost", "changes" to bufferedCount)
    }

    private fun epochOf(program: ProgramId): Long? = slots.ownedEpoch(slotOf(program, settings.slots))

    private suspend fun record(pending: PendingChange): Either<JournalFailure, Durability> =
        either {
            pending.states.keys.forEach { entry(it).bind() }
            enqueue(pending).bind()
            signal.trySend(Unit)
            pending.result.await().bind()
        }

    private fun enqueue(pending: PendingChange): Either<JournalFailure, Unit> =
        synchronized(lock) {
            val entries = pending.states.keys.map { cached(it) ?: return JournalFailure.NotOwner.left() }
            if (isStoreUnavailable && !pending.canBuffer) {
                return JournalFailure.StoreUnavailable("the store is unavailable").left()
            }
            if (!queue.hasRoom(pending)) {
                return JournalFailure.StoreUnavailable("the queue of pending changes is full").left()
            }
            queue.add(pending)
            entries.forEach { it.pending.addLast(pending) }
            if (isStoreUnavailable) pending.succeed(Durability.IN_MEMORY)
            Unit.right()
        }

    private fun cached(program: ProgramId): ProgramEntry? = epochOf(program)?.let { programs.get(program, it) }

    private suspend fun entry(program: ProgramId): Either<JournalFailure, ProgramEntry> {
        val epoch = epochOf(program) ?: return JournalFailure.NotOwner.left()
        synchronized(lock) { programs.get(program, epoch) }?.let { return it.right() }
        val key = ProgramRow.rowKey(settings.environment, program)
        val rows = table.read(listOf(key)).getOrElse { return JournalFailure.StoreUnavailable(it.toString()).left() }
        if (epochOf(program) != epoch) return JournalFailure.NotOwner.left()
        val row = rows.firstOrNull()
        val content = row?.decodeOrNull<ProgramRow>()
        val turns = content?.turns.orEmpty().mapValues { TurnPosition.of(it.value) }
        val read = ProgramEntry(epoch, row?.version ?: Condition.ABSENT, content?.state, turns.toMutableMap())
        return synchronized(lock) { programs.get(program, epoch) ?: read.also { programs.put(program, it) } }.right()
    }

    private fun pendingTurn(
        program: ProgramId,
        entry: ProgramEntry,
        turnNumber: Int,
    ): JsonElement? =
        entry.pending
            .lastOrNull { it.change.program == program && turnNumber in it.change.turns }
            ?.change
            ?.turns
            ?.get(turnNumber)

    /** Commits the oldest changes and returns whether any are left. */
    private suspend fun commitNextGroup(): Boolean {
        val group = synchronized(lock) { nextGroup() }
        if (group.isEmpty()) return pendingCount > 0
        val result = committer.commit(group, ::snapshot, onUnknownOutcome = { acknowledgeBuffered(group) })
        when (result) {
            is GroupCommitResult.Committed -> onCommitted(group, result)
            is GroupCommitResult.StoreUnavailable -> onStoreUnavailable(group, result.detail)
            is GroupCommitResult.Conflict -> onConflict(group, result.programs)
            GroupCommitResult.NotHeld -> reset()
        }
        if (result is GroupCommitResult.StoreUnavailable) delay(retryInterval)
        return pendingCount > 0
    }

    /** Returns the next group, after failing changes to programs that this gateway no longer owns. */
    private fun nextGroup(): List<PendingChange> {
        val group = queue.nextGroup()
        val notOwned = group.filter { pending -> pending.states.keys.any { cached(it) == null } }
        notOwned.forEach { drop(it, JournalFailure.NotOwner) }
        return group - notOwned.toSet()
    }

    private fun snapshot(program: ProgramId): ProgramSnapshot =
        synchronized(lock) {
            val entry = programs.peek(program)
            ProgramSnapshot(entry?.epoch ?: 0, entry?.version ?: Condition.ABSENT, entry?.turns.orEmpty().toMap())
        }

    private fun onCommitted(
        group: List<PendingChange>,
        result: GroupCommitResult.Committed,
    ) {
        synchronized(lock) {
            isStoreUnavailable = false
            group.forEach { pending ->
                pending.states.forEach { (program, state) -> markDurable(program, pending, state) }
            }
            result.programs.forEach { (program, written) -> updateRow(program, written) }
            queue.remove(group)
        }
        group.forEach { it.succeed(Durability.DURABLE) }
    }

    private fun markDurable(
        program: ProgramId,
        pending: PendingChange,
        state: JsonElement,
    ) {
        val entry = programs.peek(program) ?: return
        entry.pending.remove(pending)
        entry.durableState = state
    }

    private fun updateRow(
        program: ProgramId,
        written: ProgramSnapshot,
    ) {
        val entry = programs.peek(program) ?: return
        entry.version = written.version
        entry.turns.putAll(written.turns)
    }

    private fun onStoreUnavailable(
        group: List<PendingChange>,
        detail: String,
    ) {
        logger.warnEvent("journal_store_down", "changes" to group.size, "detail" to detail)
        acknowledgeBuffered(group)
        synchronized(lock) {
            queue.all().filter { !it.canBuffer }.forEach { drop(it, JournalFailure.StoreUnavailable(detail)) }
            isStoreUnavailable = queue.size > 0
        }
    }

    /** Acknowledges the changes that can be buffered as held in memory, and fails the unsent ones that cannot. */
    private fun acknowledgeBuffered(group: List<PendingChange>) {
        synchronized(lock) {
            isStoreUnavailable = true
            failUnsent(group)
            queue.all().filter { it.canBuffer }.forEach { it.succeed(Durability.IN_MEMORY) }
        }
    }

    /** Fails the changes that cannot be buffered and were not sent with [group]. */
    private fun failUnsent(group: List<PendingChange>) {
        val sent = group.toSet()
        val unsent = queue.all().filter { !it.canBuffer && it !in sent }
        unsent.forEach { drop(it, JournalFailure.StoreUnavailable("the store is unavailable")) }
    }

    private fun onConflict(
        group: List<PendingChange>,
        conflicting: Set<ProgramId>,
    ) {
        logger.warnEvent("journal_conflict", "programs" to conflicting.joinToString(","))
        synchronized(lock) {
            val conflicted = group.filter { pending -> pending.states.keys.any { it in conflicting } }
            conflicted.forEach { drop(it, JournalFailure.NotOwner) }
            conflicting.forEach(programs::remove)
        }
    }

    private fun drop(
        pending: PendingChange,
        failure: JournalFailure,
    ) {
        queue.remove(listOf(pending))
        pending.states.keys.forEach { programs.peek(it)?.pending?.remove(pending) }
        pending.fail(failure)
    }

    private companion object {
        val groupInterval: Duration = 20.milliseconds
        val retryInterval: Duration = 200.milliseconds
    }
}
