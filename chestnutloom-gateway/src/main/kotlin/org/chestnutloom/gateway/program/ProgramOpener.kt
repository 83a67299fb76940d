package org.chestnutloom.gateway.program

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import kotlinx.coroutines.sync.withLock
import org.chestnutloom.call.Refusal
import org.chestnutloom.gateway.body.OpenProgramRequest
import org.chestnutloom.gateway.body.badRequest
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.ProgramId
import org.chestnutloom.program.ProgramRecord
import org.chestnutloom.program.grantBudget
import org.chestnutloom.time.Clock

/** Opens programs and sub-agents; opening an existing program returns its current state. */
internal class ProgramOpener(
    private val clock: Clock,
) {
    /** Opens [program] for [account] with the budget in [body]. */
    suspend fun open(
        tree: ProgramTree,
        program: ProgramId,
        account: ClientAccountId,
        body: OpenProgramRequest,
    ): Either<Refusal, ProgramRecord> =
        tree.mutex.withLock {
            either {
                val known = tree.load(program).bind()
                if (known != null) return@either existing(known, account)
                val parent = program.parent?.let { parentOf(tree, it, account) }
                create(tree, program, account, body, parent)
            }
        }

    private fun Raise<Refusal>.existing(
        known: ProgramRecord,
        account: ClientAccountId,
    ): ProgramRecord = if (known.account == account) known else raise(noSuchProgram())

    private suspend fun Raise<Refusal>.parentOf(
        tree: ProgramTree,
        parent: ProgramId,
        account: ClientAccountId,
    ): ProgramRecord {
        val record = tree.load(parent).bind()
        if (record == null || record.account != account) raise(noSuchProgram())
        return record
    }

    private suspend fun Raise<Refusal>.create(
        tree: ProgramTree,
        program: ProgramId,
        account: ClientAccountId,
        body: OpenProgramRequest,
        parent: ProgramRecord?,
    ): ProgramRecord {
        val nowMs = clock.now().toEpochMilli()
        val changedParent = parent?.grantBudget(program, body.budget, nowMs)?.bind()
        val wallTimeMs = minOf(body.budget.wallTimeMs, (parent?.deadlineMs ?: Long.MAX_VALUE) - nowMs)
        if (body.budget.calls < 1) raise(badRequest("budget.calls must be at least 1."))
        val record = ProgramRecord(program, account, body.budget.copy(wallTimeMs = wallTimeMs), nowMs, nowMs)
        val records = listOfNotNull(record, changedParent)
        tree.commit(records).bind()
        return record
    }
}
