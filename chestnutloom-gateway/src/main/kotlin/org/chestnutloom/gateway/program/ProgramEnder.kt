package org.chestnutloom.gateway.program

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.sync.withLock
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.common.log.event
import org.chestnutloom.gateway.call.InFlightCalls
import org.chestnutloom.gateway.call.SidecarNotifier
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.ProgramId
import org.chestnutloom.program.ProgramRecord
import org.chestnutloom.program.ProgramState
import org.chestnutloom.program.end
import org.chestnutloom.program.hasFullyEnded
import org.chestnutloom.program.reclaimBudget
import org.chestnutloom.time.Clock

private val logger = KotlinLogging.logger {}

/** Ends programs with their sub-agents, and returns the unused budget of ended sub-agents to their parents. */
internal class ProgramEnder(
    private val registry: ProgramTreeRegistry,
    private val inFlightCalls: InFlightCalls,
    private val notifier: SidecarNotifier,
    private val clock: Clock,
) {
    /**
     * Ends [program] in [state]; if [account] is not null, the program must belong to it.
     *
     * Closing is refused while a turn is in progress; the other states cancel in-flight calls.
     */
    suspend fun end(
        tree: ProgramTree,
        program: ProgramId,
        account: ClientAccountId?,
        state: ProgramState,
    ): Either<Refusal, ProgramRecord> =
        tree.mutex.withLock {
            val record = tree.load(program).fold({ return@withLock it.left() }, { it })
            if (record == null || (account != null && record.account != account)) return@withLock noSuchProgram().left()
            if (record.state != ProgramState.OPEN) return@withLock record.right()
            val subtree = subtreeOf(tree, record)
            if (state == ProgramState.CLOSED && subtree.any { it.id in tree.running }) return@withLock busy().left()
            endSubtree(tree, subtree, state)
        }

    /** Returns [record] and, if it has fully ended, the ancestors that reclaim its unused budget. */
    suspend fun withChangedAncestors(
        tree: ProgramTree,
        record: ProgramRecord,
    ): List<ProgramRecord> {
        val parent = record.id.parent
        if (parent == null || !record.hasFullyEnded()) return listOf(record)
        val parentRecord = tree.load(parent).getOrNull() ?: return listOf(record)
        if (record.id !in parentRecord.granted) return listOf(record)
        return listOf(record) + withChangedAncestors(tree, parentRecord.reclaimBudget(record))
    }

    /** Tells sidecars to free the resources of [record] if it has ended and has no open turn. */
    fun notifyEnd(record: ProgramRecord) {
        if (record.state == ProgramState.OPEN || record.openTurn != null) return
        notifier.endProgram(record.id, record.servedBy)
        logger.event("program_ended", "program" to record.id, "state" to record.state)
    }

    private suspend fun endSubtree(
        tree: ProgramTree,
        subtree: List<ProgramRecord>,
        state: ProgramState,
    ): Either<Refusal, ProgramRecord> {
        val ended = subtree.associate { it.id to it.end(state, nowMs()) }.toMutableMap()
        subtree.reversed().forEach { reclaimFromChild(ended, it.id) }
        val root = ended.getValue(subtree.first().id)
        val ancestors = withChangedAncestors(tree, root).drop(1)
        val changed = ended.values.sortedBy { it.id.value.length } + ancestors
        return tree
            .commitOrBuffer(changed)
            .onLeft { registry.discard(tree) }
            .onRight { ended.values.forEach(::stopCalls) }
            .map { root }
    }

    private fun reclaimFromChild(
        ended: MutableMap<ProgramId, ProgramRecord>,
        id: ProgramId,
    ) {
        val child = ended.getValue(id)
        val parent = id.parent?.let { ended[it] } ?: return
        if (child.hasFullyEnded()) ended[parent.id] = parent.reclaimBudget(child)
    }

    private fun stopCalls(record: ProgramRecord) {
        inFlightCalls.cancelProgram(record.id)
        notifyEnd(record)
    }

    private suspend fun subtreeOf(
        tree: ProgramTree,
        record: ProgramRecord,
    ): List<ProgramRecord> {
        val children = record.granted.keys.mapNotNull { tree.load(it).getOrNull() }
        return listOf(record) + children.flatMap { subtreeOf(tree, it) }
    }

    private fun busy() =
        Refusal(RefusalCode.TURN_IN_PROGRESS, Execution.NOT_RUN, "A turn of the program is in progress.")

    private fun nowMs(): Long = clock.now().toEpochMilli()
}
