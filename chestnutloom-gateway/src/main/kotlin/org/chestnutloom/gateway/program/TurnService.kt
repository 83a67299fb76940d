package org.chestnutloom.gateway.program

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.emitAll
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.flowOf
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.gateway.body.TurnBody
import org.chestnutloom.gateway.control.Caller
import org.chestnutloom.gateway.control.KeyDirectory
import org.chestnutloom.id.ProgramId
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.mechanism.Mechanisms
import org.chestnutloom.program.ProgramRecord
import org.chestnutloom.program.TurnDecision
import org.chestnutloom.program.TurnRecord
import org.chestnutloom.program.abortTurn
import org.chestnutloom.program.decideTurn
import org.chestnutloom.program.turnMismatchRefusal
import org.chestnutloom.wire.message.ForwardedEvent
import org.chestnutloom.wire.message.LinkReply
import kotlin.time.Duration

/** Runs the turns of programs in order, each once, and answers repeated requests from the stored record. */
internal class TurnService(
    private val store: ProgramStore,
    private val starter: TurnStarter,
    private val keys: KeyDirectory,
    private val mechanisms: Mechanisms,
) {
    /**
     * Runs [request] and returns its replies.
     *
     * @param earlyTurnWait how long a turn that arrives out of order waits for the preceding turns
     */
    fun run(
        tree: ProgramTree,
        request: TurnRequest,
        earlyTurnWait: Duration,
    ): Flow<LinkReply> =
        flow {
            var step: Step = Step.Retry
            while (step !is Step.Reply) {
                step = nextStep(tree, request, step, earlyTurnWait)
            }
            emitAll(step.replies)
        }

    /** Returns the record of turn [turnNumber] of [program], which must belong to the account of [caller]. */
    suspend fun read(
        tree: ProgramTree,
        program: ProgramId,
        caller: Caller,
        turnNumber: Int,
    ): Either<Refusal, TurnRecord> =
        either {
            val record = tree.mutex.withLock { tree.load(program) }.bind()
            if (record == null || record.account != caller.account) raise(noSuchProgram())
            if (record.openTurn?.turnNumber == turnNumber) raise(inProgress(turnNumber))
            store.loadTurn(program, turnNumber).bind() ?: raise(noSuchTurn(turnNumber))
        }

    private suspend fun nextStep(
        tree: ProgramTree,
        request: TurnRequest,
        step: Step,
        earlyTurnWait: Duration,
    ): Step =
        when (step) {
            is Step.Retry -> decideStep(tree, request)
            is Step.Wait -> awaitChange(tree, request, step.seenChanges, earlyTurnWait)
            is Step.Follow -> follow(step.turn)
            is Step.Reply -> step
        }

    private suspend fun follow(turn: RunningTurn): Step {
        val isRetry = turn.isRecovery && turn.await().refusal?.execution == Execution.NOT_RUN
        return if (isRetry) Step.Retry else Step.Reply(turn.replies())
    }

    private suspend fun awaitChange(
        tree: ProgramTree,
        request: TurnRequest,
        seenChanges: Long,
        limit: Duration,
    ): Step {
        var seen = seenChanges
        val next =
            withTimeoutOrNull(limit) {
                var step: Step
                do {
                    tree.changes.first { it != seen }
                    step = decideStep(tree, request)
                    seen = (step as? Step.Wait)?.seenChanges ?: seen
                } while (step is Step.Wait)
                step
            }
        return next ?: Step.refused(outOfOrder(request.turnNumber))
    }

    private suspend fun decideStep(
        tree: ProgramTree,
        request: TurnRequest,
    ): Step =
        tree.mutex.withLock {
            val record = load(tree, request).fold({ return@withLock Step.refused(it) }, { it })
            val decision = decide(record, request)
            if (keys.isWithdrawn(request.caller.key)) return@withLock Step.refused(keyWithdrawn(decision))
            when (decision) {
                is TurnDecision.Refuse -> Step.refused(decision.refusal)
                is TurnDecision.Early -> Step.Wait(tree.changes.value)
                is TurnDecision.Recorded -> replyFromRecord(request)
                is TurnDecision.Attach -> attach(tree, request)
                is TurnDecision.Start -> start(tree, record, request)
            }
        }

    private suspend fun load(
        tree: ProgramTree,
        request: TurnRequest,
    ): Either<Refusal, ProgramRecord> {
        val record = tree.load(request.program).fold({ return it.left() }, { it })
        if (record == null || record.account != request.caller.account) return noSuchProgram().left()
        val orphan = record.openTurn?.takeIf { request.program !in tree.running } ?: return record.right()
        if (!orphan.idempotent) {
            starter.recover(tree, record, orphan)
            return record.right()
        }
        return record.abortTurn().also(tree::put).right()
    }

    private fun decide(
        record: ProgramRecord,
        request: TurnRequest,
    ): TurnDecision {
        if (!mechanisms.has(Mechanism.TURN_ORDER)) return TurnDecision.Start
        return record.decideTurn(request.turnNumber, request.body.hash)
    }

    private fun attach(
        tree: ProgramTree,
        request: TurnRequest,
    ): Step {
        val turn = tree.running[request.program] ?: return Step.Wait(tree.changes.value)
        return Step.Follow(turn)
    }

    private suspend fun start(
        tree: ProgramTree,
        record: ProgramRecord,
        request: TurnRequest,
    ): Step = starter.start(tree, record, request).fold({ Step.refused(it) }, { Step.Follow(it) })

    private suspend fun replyFromRecord(request: TurnRequest): Step {
        val loaded = store.loadTurn(request.program, request.turnNumber)
        val turn = loaded.fold({ return Step.refused(it.copy(execution = Execution.RAN)) }, { it })
        if (turn == null) return Step.refused(noSuchTurn(request.turnNumber))
        if (turn.bodyHash != request.body.hash) return Step.refused(turnMismatchRefusal(turn.turnNumber))
        return Step.Reply(replay(turn, request.body))
    }

    private fun replay(
        turn: TurnRecord,
        body: TurnBody,
    ): Flow<LinkReply> {
        val refusal = turn.refusal
        if (refusal != null) return flowOf(refusedAnswer(refusal))
        return flow {
            if (body.stream) turn.events.forEachIndexed { index, data -> emit(ForwardedEvent(index, data)) }
            emit(jsonAnswer(turn.toJson()))
        }
    }

    private fun outOfOrder(turnNumber: Int): Refusal {
        val detail = "Turn $turnNumber arrived before the preceding turn ended."
        return Refusal(RefusalCode.TURN_OUT_OF_ORDER, Execution.NOT_RUN, detail)
    }

    private fun inProgress(turnNumber: Int): Refusal =
        Refusal(RefusalCode.TURN_IN_PROGRESS, Execution.UNKNOWN, "Turn $turnNumber is in progress.")

    private fun noSuchTurn(turnNumber: Int): Refusal =
        Refusal(RefusalCode.NOT_FOUND, Execution.NOT_RUN, "There is no record of turn $turnNumber.")

    private fun keyWithdrawn(decision: TurnDecision): Refusal {
        val mayHaveRun = decision is TurnDecision.Attach || decision is TurnDecision.Recorded
        val execution = if (mayHaveRun) Execution.UNKNOWN else Execution.NOT_RUN
        return Refusal(RefusalCode.UNAUTHORIZED, execution, "The key is withdrawn.")
    }

    /** The next step in handling a request for a turn. */
    private sealed interface Step {
        /** Waits until the change counter of the program tree differs from [seenChanges]. */
        class Wait(
            val seenChanges: Long,
        ) : Step

        /** Relays the replies of [turn], which is in progress here. */
        class Follow(
            val turn: RunningTurn,
        ) : Step

        class Reply(
            val replies: Flow<LinkReply>,
        ) : Step

        /** Decides the next step from the current state of the program. */
        data object Retry : Step

        companion object {
            fun refused(refusal: Refusal): Step = Reply(flowOf(refusedAnswer(refusal)))
        }
    }
}
