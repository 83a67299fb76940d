package org.chestnutloom.gateway.program

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.raise.either
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.emitAll
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.sync.withLock
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.chestnutloom.call.Refusal
import org.chestnutloom.gateway.body.OpenProgramRequest
import org.chestnutloom.gateway.body.badRequest
import org.chestnutloom.gateway.body.parseTurnBody
import org.chestnutloom.gateway.control.Caller
import org.chestnutloom.gateway.control.SettingsSource
import org.chestnutloom.gateway.control.currentOrRefusal
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.ProgramId
import org.chestnutloom.program.ProgramRecord
import org.chestnutloom.program.ProgramState
import org.chestnutloom.program.TurnRecord
import org.chestnutloom.time.Clock
import org.chestnutloom.wire.message.ForwardRequest
import org.chestnutloom.wire.message.ForwardedAnswer
import org.chestnutloom.wire.message.LinkReply
import org.chestnutloom.wire.message.ProgramOperation

private const val STATUS_CREATED = 201

/** Handles requests for programs that this gateway owns. */
internal class ProgramRequestHandler(
    private val registry: ProgramTreeRegistry,
    private val store: ProgramStore,
    private val opener: ProgramOpener,
    private val ender: ProgramEnder,
    private val turns: TurnService,
    private val activity: ProgramActivity,
    private val settings: SettingsSource,
    private val clock: Clock,
    private val scope: CoroutineScope,
) {
    /** Handles [request] in ownership epoch [epoch] and returns any number of events followed by one answer. */
    fun handle(
        request: ForwardRequest,
        epoch: Long,
    ): Flow<LinkReply> =
        flow {
            activity.touch(request.program)
            registry.use(request.program, epoch) { tree -> emitAll(replies(tree, request)) }
        }

    /** Returns whether a request or turn of [program]'s tree is in progress on this gateway. */
    fun isRunning(program: ProgramId): Boolean = registry.isInUse(program)

    /** Returns whether turn [turnNumber] of [program] has run or is in progress, so that a retry starts no call. */
    suspend fun knowsTurn(
        program: ProgramId,
        epoch: Long,
        account: ClientAccountId,
        turnNumber: Int,
    ): Boolean =
        registry.use(program, epoch) { tree ->
            val record = tree.mutex.withLock { tree.load(program) }.getOrNull()
            val isKnown =
                record != null && (turnNumber <= record.lastTurn || turnNumber == tree.running[program]?.number)
            isKnown && record.account == account
        }

    private fun replies(
        tree: ProgramTree,
        request: ForwardRequest,
    ): Flow<LinkReply> =
        when (request.operation) {
            ProgramOperation.RUN_TURN -> runTurn(tree, request)
            ProgramOperation.OPEN -> answer { open(tree, request) }
            ProgramOperation.READ -> answer { read(tree, request) }
            ProgramOperation.READ_TURN -> answer { readTurn(tree, request) }
            ProgramOperation.CLOSE -> answer { end(tree, request, ProgramState.CLOSED) }
            ProgramOperation.CANCEL -> answer { end(tree, request, ProgramState.CANCELLED) }
        }

    private fun runTurn(
        tree: ProgramTree,
        request: ForwardRequest,
    ): Flow<LinkReply> =
        flow {
            turnRequest(request).fold(
                { emit(refusedAnswer(it)) },
                { emitAll(turns.run(tree, it, it.settings.limits.earlyTurnWait)) },
            )
        }

    private fun answer(block: suspend () -> Either<Refusal, ForwardedAnswer>): Flow<LinkReply> =
        flow {
            val result = scope.async { block() }.await()
            emit(result.fold(::refusedAnswer) { it })
        }

    private suspend fun open(
        tree: ProgramTree,
        request: ForwardRequest,
    ): Either<Refusal, ForwardedAnswer> =
        bodyOf(request)
            .flatMap(OpenProgramRequest::parse)
            .flatMap { opener.open(tree, request.program, request.account, it) }
            .map { jsonAnswer(it.toJson(nowMs()), STATUS_CREATED) }

    private suspend fun read(
        tree: ProgramTree,
        request: ForwardRequest,
    ): Either<Refusal, ForwardedAnswer> =
        either {
            val record = tree.mutex.withLock { tree.load(request.program) }.bind()
            if (record == null || record.account != request.account) raise(noSuchProgram())
            val wantsHistory = bodyOf(request).bind()[HISTORY_FIELD] == JsonPrimitive(true)
            jsonAnswer(record.toJson(nowMs(), if (wantsHistory) history(record).bind() else null))
        }

    private suspend fun history(record: ProgramRecord): Either<Refusal, List<TurnRecord>> =
        either { (1..record.lastTurn).mapNotNull { store.loadTurn(record.id, it).bind() } }

    private suspend fun readTurn(
        tree: ProgramTree,
        request: ForwardRequest,
    ): Either<Refusal, ForwardedAnswer> =
        turns.read(tree, request.program, callerOf(request), request.turnNumber ?: 0).map { jsonAnswer(it.toJson()) }

    private suspend fun end(
        tree: ProgramTree,
        request: ForwardRequest,
        state: ProgramState,
    ): Either<Refusal, ForwardedAnswer> =
        ender.end(tree, request.program, request.account, state).map { jsonAnswer(it.toJson(nowMs())) }

    private fun turnRequest(request: ForwardRequest): Either<Refusal, TurnRequest> =
        either {
            val current = settings.currentOrRefusal().bind()
            val body = parseTurnBody(bodyOf(request).bind(), current).bind()
            val turnNumber = request.turnNumber ?: raise(badRequest("The turn number is missing."))
            TurnRequest(request.program, turnNumber, callerOf(request), body, current, request.traceParent)
        }

    private fun bodyOf(request: ForwardRequest): Either<Refusal, JsonObject> =
        either {
            if (request.body.isEmpty()) return@either JsonObject(emptyMap())
            try {
                Json.parseToJsonElement(request.body) as? JsonObject
                    ?: raise(badRequest("The body is not a JSON object."))
            } catch (_: SerializationException) {
                raise(badRequest("The body is not valid JSON."))
            }
        }

    private fun callerOf(request: ForwardRequest): Caller = Caller(request.account, request.key)

    private fun nowMs(): Long = clock.now().toEpochMilli()

    internal companion object {
        /** The field in the body of a read request that asks for the records of all turns. */
        const val HISTORY_FIELD: String = "history"
    }
}
