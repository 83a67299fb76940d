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

/** The journal of one gateway: a cache of the programs it owns, and a queue of changes that commit in groups. */
internal class GroupJournal(
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

    /** Whether the newest attempt to commit did not succeed. */
    @Volatile
    var isStoreDown: Boolean = false
        private set

    /** How many changes are not durable yet. */
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
        record(PendingChange(change, mayKeep = false)).map { }

    override suspend fun commitOrBuffer(change: JournalChange): Either<JournalFailure, Durability> =
        record(PendingChange(change, mayKeep = true))

    /** Commits groups until cancelled. */
    suspend fun run() {
        while (true) {
            while (commitNextGroup()) delay(groupSpacing)
            signal.receive()
        }
    }

    /** Tells whether changes of programs in [slot] are not durable yet. */
    fun hasPending(slot: Int): Boolean =
        synchronized(lock) { queue.all().any { slotOf(it.change.program, settings.slots) == slot } }

    /** Forgets everything after the lease was lost; changes under way fail. */
    fun reset() {
        val lost = synchronized(lock) { queue.all().also { queue.remove(it) } }
        synchronized(lock) { programs.clear() }
        lost.forEach { it.fail(JournalFailure.NotOwner) }
        val keptCount = lost.count { it.mayKeep }
        if (keptCount > 0) logger.warnEvent("journal_changes_lost", "changes" to keptCount)
    }

    private fun epochOf(program: ProgramId): Long? = slots.heldEpoch(slotOf(program, settings.slots))

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
            if (isStoreDown && !pending.mayKeep) return JournalFailure.StoreUnavailable("the store is down").left()
            if (!queue.hasRoom(pending)) return JournalFailure.StoreUnavailable("too many changes wait").left()
            queue.add(pending)
            entries.forEach { it.pending.addLast(pending) }
            if (isStoreDown) pending.succeed(Durability.IN_MEMORY)
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

    /** Commits the oldest changes; returns false when there are none. */
    private suspend fun commitNextGroup(): Boolean {
        val group = synchronized(lock) { nextGroup() }
        if (group.isEmpty()) return pendingCount > 0
        val result = committer.commit(group, ::snapshot, onUncertain = { keepInMemory(group) })
        when (result) {
            is GroupResult.Committed -> committed(group, result)
            is GroupResult.StoreDown -> storeDown(group, result.detail)
            is GroupResult.Conflict -> conflict(group, result.programs)
            GroupResult.NotHeld -> reset()
        }
        if (result is GroupResult.StoreDown) delay(retryInterval)
        return pendingCount > 0
    }

    /** Takes the next group, after failing changes of programs that are no longer owned. */
    private fun nextGroup(): List<PendingChange> {
        val group = queue.nextGroup()
        val orphaned = group.filter { pending -> pending.states.keys.any { cached(it) == null } }
        orphaned.forEach { drop(it, JournalFailure.NotOwner) }
        return group - orphaned.toSet()
    }

    private fun snapshot(program: ProgramId): ProgramSnapshot =
        synchronized(lock) {
            val entry = programs.peek(program)
            ProgramSnapshot(entry?.epoch ?: 0, entry?.version ?: Condition.ABSENT, entry?.turns.orEmpty().toMap())
        }

    private fun committed(
        group: List<PendingChange>,
        result: GroupResult.Committed,
    ) {
        synchronized(lock) {
            isStoreDown = false
            group.forEach { pending -> pending.states.forEach { (program, state) -> settle(program, pending, state) } }
            result.programs.forEach { (program, written) -> update(program, written) }
            queue.remove(group)
        }
        group.forEach { it.succeed(Durability.DURABLE) }
    }

    private fun settle(
        program: ProgramId,
        pending: PendingChange,
        state: JsonElement,
    ) {
        val entry = programs.peek(program) ?: return
        entry.pending.remove(pending)
        entry.durable = state
    }

    private fun update(
        program: ProgramId,
        written: ProgramSnapshot,
    ) {
        val entry = programs.peek(program) ?: return
        entry.version = written.version
        entry.turns.putAll(written.turns)
    }

    private fun storeDown(
        group: List<PendingChange>,
        detail: String,
    ) {
        logger.warnEvent("journal_store_down", "changes" to group.size, "detail" to detail)
        keepInMemory(group)
        synchronized(lock) {
            queue.all().filter { !it.mayKeep }.forEach { drop(it, JournalFailure.StoreUnavailable(detail)) }
            isStoreDown = queue.size > 0
        }
    }

    /** Answers the callers of changes that may wait in memory. */
    private fun keepInMemory(group: List<PendingChange>) {
        synchronized(lock) {
            isStoreDown = true
            failUnsent(group)
            queue.all().filter { it.mayKeep }.forEach { it.succeed(Durability.IN_MEMORY) }
        }
    }

    /** Fails the changes that were not sent with [group] and may not wait. */
    private fun failUnsent(group: List<PendingChange>) {
        val sent = group.toSet()
        val unsent = queue.all().filter { !it.mayKeep && it !in sent }
        unsent.forEach { drop(it, JournalFailure.StoreUnavailable("the store is down")) }
    }

    private fun conflict(
        group: List<PendingChange>,
        conflicting: Set<ProgramId>,
    ) {
        logger.warnEvent("journal_conflict", "programs" to conflicting.joinToString(","))
        synchronized(lock) {
            val lost = group.filter { pending -> pending.states.keys.any { it in conflicting } }
            lost.forEach { drop(it, JournalFailure.NotOwner) }
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
        val groupSpacing: Duration = 20.milliseconds
        val retryInterval: Duration = 200.milliseconds
    }
}
