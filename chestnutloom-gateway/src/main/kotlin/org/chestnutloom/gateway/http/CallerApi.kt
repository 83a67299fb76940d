package org.chestnutloom.gateway.http

import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import kotlinx.coroutines.flow.Flow
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.put
import org.chestnutloom.call.Refusal
import org.chestnutloom.config.EnvironmentSettings
import org.chestnutloom.gateway.body.OpenBody
import org.chestnutloom.gateway.body.Redactor
import org.chestnutloom.gateway.body.badRequest
import org.chestnutloom.gateway.body.modelTurnBody
import org.chestnutloom.gateway.body.parseTurnBody
import org.chestnutloom.gateway.body.sha256
import org.chestnutloom.gateway.control.AdmissionControl
import org.chestnutloom.gateway.control.Caller
import org.chestnutloom.gateway.control.KeyDirectory
import org.chestnutloom.gateway.control.SettingsSource
import org.chestnutloom.gateway.control.currentOrRefusal
import org.chestnutloom.gateway.ingress.OneCall
import org.chestnutloom.gateway.ingress.ProgramRouter
import org.chestnutloom.gateway.program.ProgramRequestHandler
import org.chestnutloom.gateway.program.planCall
import org.chestnutloom.gateway.trace.traceParent
import org.chestnutloom.id.CallId
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.ProgramId
import org.chestnutloom.wire.message.ForwardRequest
import org.chestnutloom.wire.message.ForwardedAnswer
import org.chestnutloom.wire.message.LinkReply
import org.chestnutloom.wire.message.ProgramOperation
import java.util.UUID

/** Serves the requests that carry an access key. */
internal class CallerApi(
    private val keys: KeyDirectory,
    private val settings: SettingsSource,
    private val admission: AdmissionControl,
    private val router: ProgramRouter,
    private val oneCall: OneCall,
    private val redactor: Redactor,
    private val responder: Responder,
) {
    /** Opens a program or a sub-agent. */
    suspend fun open(exchange: Exchange) =
        serve(exchange) { caller, inForce ->
            val body = read(exchange, inForce)
            val open = OpenBody.parse(body).bind()
            admission.admit(caller.account).bind()
            val request =
                forward(exchange, caller, ProgramOperation.OPEN, programIdOf(caller.account, open), null, body)
            responder.respondWhole(exchange, router.route(request)) { it }
        }

    /** Runs a turn, or answers a repeat of one. */
    suspend fun runTurn(
        exchange: Exchange,
        program: String?,
        turnNumber: String?,
    ) = serve(exchange) { caller, inForce ->
        val id = programId(program)
        val number = turnNumber(turnNumber)
        runTurn(exchange, caller, inForce, id, number, read(exchange, inForce)) { it }
    }

    /** Reads, closes or cancels a program, or reads one of its turns. */
    suspend fun onProgram(
        exchange: Exchange,
        operation: ProgramOperation,
        program: String?,
        turnNumber: String? = null,
    ) = serve(exchange) { caller, _ ->
        val number = if (operation == ProgramOperation.READ_TURN) turnNumber(turnNumber) else null
        val history = exchange.call.request.queryParameters[ProgramRequestHandler.HISTORY_FIELD] == "true"
        val body = JsonObject(mapOf(ProgramRequestHandler.HISTORY_FIELD to JsonPrimitive(history)))
        val request = forward(exchange, caller, operation, programId(program), number, body)
        responder.respondWhole(exchange, router.route(request)) { it }
    }

    /** Runs a chat completion, as a turn of a program when headers name one. */
    suspend fun complete(exchange: Exchange) =
        serve(exchange) { caller, inForce ->
            val program = exchange.call.request.headers[PROGRAM_HEADER]
            val turnNumber = exchange.call.request.headers[TURN_HEADER]
            val request = read(exchange, inForce)
            if (program != null || turnNumber != null) {
                val number = turnNumber(turnNumber)
                val body = modelTurnBody(request)
                runTurn(exchange, caller, inForce, programId(program), number, body, ::completionOnly)
            } else {
                completeOnce(exchange, caller, inForce, request)
            }
        }

    /** Lists the models that the environment offers. */
    suspend fun models(exchange: Exchange) =
        serve(exchange) { _, inForce ->
            val models =
                inForce.models.keys.map { model ->
                    buildJsonObject {
                        put("id", model.value)
                        put("object", "model")
                    }
                }
            val body =
                buildJsonObject {
                    put("object", "list")
                    put("data", buildJsonArray { models.forEach { add(it) } })
                }
            responder.respondJson(exchange, body, HTTP_OK)
        }

    private suspend fun Raise<Refusal>.runTurn(
        exchange: Exchange,
        caller: Caller,
        inForce: EnvironmentSettings,
        program: ProgramId,
        turnNumber: Int,
        body: JsonObject,
        transform: (ForwardedAnswer) -> ForwardedAnswer,
    ) {
        val turn = parseTurnBody(body, inForce).bind()
        val isRepeat = router.knowsTurn(program, caller.account, turnNumber)
        if (!isRepeat) admission.admit(caller.account).bind()
        val request = forward(exchange, caller, ProgramOperation.RUN_TURN, program, turnNumber, body)
        respond(exchange, router.route(request), turn.stream, transform)
    }

    private suspend fun Raise<Refusal>.completeOnce(
        exchange: Exchange,
        caller: Caller,
        inForce: EnvironmentSettings,
        request: JsonObject,
    ) {
        val body = parseTurnBody(modelTurnBody(request), inForce).bind()
        admission.admit(caller.account).bind()
        val id = CallId("one-${UUID.randomUUID()}")
        val plan = planCall(id, body, caller, null, inForce, exchange.span.traceParent())
        respond(exchange, oneCall.stream(plan), body.stream) { it }
    }

    private suspend fun respond(
        exchange: Exchange,
        replies: Flow<LinkReply>,
        isStream: Boolean,
        transform: (ForwardedAnswer) -> ForwardedAnswer,
    ) = if (isStream) {
        responder.respondStream(exchange, replies)
    } else {
        responder.respondWhole(exchange, replies, transform)
    }

    private suspend fun serve(
        exchange: Exchange,
        block: suspend Raise<Refusal>.(Caller, EnvironmentSettings) -> Unit,
    ) {
        val result =
            either {
                val caller = keys.authenticate(exchange.bearer).bind()
                val inForce = settings.currentOrRefusal().bind()
                block(caller, inForce)
            }
        result.onLeft { responder.refuse(exchange, it) }
    }

    private suspend fun Raise<Refusal>.read(
        exchange: Exchange,
        inForce: EnvironmentSettings,
    ): JsonObject {
        val body = readObject(exchange.call, inForce.limits.maxBodyBytes).bind()
        return redactor.redact(body, exchange.bearer).jsonObject
    }

    private fun forward(
        exchange: Exchange,
        caller: Caller,
        operation: ProgramOperation,
        program: ProgramId,
        turnNumber: Int?,
        body: JsonObject,
    ): ForwardRequest =
        ForwardRequest(
            operation = operation,
            program = program,
            turnNumber = turnNumber,
            account = caller.account,
            key = caller.key,
            requestId = exchange.requestId,
            body = body.toString(),
            hops = 0,
            traceParent = exchange.span.traceParent(),
        )

    private fun programIdOf(
        account: ClientAccountId,
        open: OpenBody,
    ): ProgramId {
        val name = open.name
        val parent = open.parent
        if (parent != null) return parent.child(name ?: randomName())
        if (name == null) return ProgramId("r-${randomName()}")
        return ProgramId("c-" + sha256("${account.value}\n$name").take(DERIVED_LENGTH))
    }

    private fun randomName(): String = UUID.randomUUID().toString().replace("-", "")

    private fun Raise<Refusal>.programId(text: String?): ProgramId =
        OpenBody.parseProgramId(text ?: raise(badRequest("the program id is missing"))).bind()

    private fun Raise<Refusal>.turnNumber(text: String?): Int {
        val number = text?.takeIf { it.length <= MAX_TURN_DIGITS }?.toIntOrNull()
        ensure(number != null && number >= 1) { badRequest("the turn number must be a whole number from 1") }
        return number
    }

    private fun completionOnly(answer: ForwardedAnswer): ForwardedAnswer {
        if (answer.refusal != null) return answer
        val turn = Json.parseToJsonElement(answer.body).jsonObject
        return answer.copy(body = turn["body"].toString())
    }

    private companion object {
        const val PROGRAM_HEADER = "X-Program-Id"
        const val TURN_HEADER = "X-Turn"
        const val HTTP_OK = 200
        const val DERIVED_LENGTH = 32
        const val MAX_TURN_DIGITS = 7
    }
}
