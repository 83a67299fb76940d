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
import org.chestnutloom.gateway.body.OpenProgramRequest
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
import org.chestnutloom.gateway.ingress.ProgramRouter
import org.chestnutloom.gateway.ingress.StandaloneCallRunner
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

/** Handles the routes that require an access key. */
internal class AuthenticatedRouteHandler(
    private val keys: KeyDirectory,
    private val settings: SettingsSource,
    private val admission: AdmissionControl,
    private val router: ProgramRouter,
    private val standaloneCalls: StandaloneCallRunner,
    private val redactor: Redactor,
    private val responder: Responder,
) {
    /** Opens a program or a sub-agent of one. */
    suspend fun open(exchange: Exchange) =
        serve(exchange) { caller, environment ->
            val body = read(exchange, environment)
            val open = OpenProgramRequest.parse(body).bind()
            admission.admit(caller.account).bind()
            val request =
                forwardRequest(exchange, caller, ProgramOperation.OPEN, programIdOf(caller.account, open), null, body)
            responder.respondComplete(exchange, router.route(request)) { it }
        }

    /** Runs a turn, or returns the recorded answer of a turn that already ran. */
    suspend fun runTurn(
        exchange: Exchange,
        program: String?,
        turnNumber: String?,
    ) = serve(exchange) { caller, environment ->
        val id = programId(program)
        val number = turnNumber(turnNumber)
        runTurn(exchange, caller, environment, id, number, read(exchange, environment)) { it }
    }

    /** Reads, closes or cancels a program, or reads one of its turns. */
    suspend fun runOperation(
        exchange: Exchange,
        operation: ProgramOperation,
        program: String?,
        turnNumber: String? = null,
    ) = serve(exchange) { caller, _ ->
        val number = if (operation == ProgramOperation.READ_TURN) turnNumber(turnNumber) else null
        val history = exchange.call.request.queryParameters[ProgramRequestHandler.HISTORY_FIELD] == "true"
        val body = JsonObject(mapOf(ProgramRequestHandler.HISTORY_FIELD to JsonPrimitive(history)))
        val request = forwardRequest(exchange, caller, operation, programId(program), number, body)
        responder.respondComplete(exchange, router.route(request)) { it }
    }

    /** Runs a chat completion, as a turn of a program if the request headers name one. */
    suspend fun complete(exchange: Exchange) =
        serve(exchange) { caller, environment ->
            val program = exchange.call.request.headers[PROGRAM_HEADER]
            val turnNumber = exchange.call.request.headers[TURN_HEADER]
            val request = read(exchange, environment)
            if (program != null || turnNumber != null) {
                val number = turnNumber(turnNumber)
                val body = modelTurnBody(request)
                runTurn(exchange, caller, environment, programId(program), number, body, ::extractCompletion)
            } else {
                completeStandalone(exchange, caller, environment, request)
            }
        }

    /** Lists the models that the environment offers. */
    suspend fun models(exchange: Exchange) =
        serve(exchange) { _, environment ->
            val models =
                environment.models.keys.map { model ->
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
        environment: EnvironmentSettings,
        program: ProgramId,
        turnNumber: Int,
        body: JsonObject,
        transform: (ForwardedAnswer) -> ForwardedAnswer,
    ) {
        val turn = parseTurnBody(body, environment).bind()
        val isRetry = router.knowsTurn(program, caller.account, turnNumber)
        if (!isRetry) admission.admit(caller.account).bind()
        val request = forwardRequest(exchange, caller, ProgramOperation.RUN_TURN, program, turnNumber, body)
        respond(exchange, router.route(request), turn.stream, transform)
    }

    private suspend fun Raise<Refusal>.completeStandalone(
        exchange: Exchange,
        caller: Caller,
        environment: EnvironmentSettings,
        request: JsonObject,
    ) {
        val body = parseTurnBody(modelTurnBody(request), environment).bind()
        admission.admit(caller.account).bind()
        val id = CallId("one-${UUID.randomUUID()}")
        val plan = planCall(id, body, caller, null, environment, exchange.span.traceParent())
        respond(exchange, standaloneCalls.stream(plan), body.stream) { it }
    }

    private suspend fun respond(
        exchange: Exchange,
        replies: Flow<LinkReply>,
        isStream: Boolean,
        transform: (ForwardedAnswer) -> ForwardedAnswer,
    ) = if (isStream) {
        responder.respondStream(exchange, replies)
    } else {
        responder.respondComplete(exchange, replies, transform)
    }

    private suspend fun serve(
        exchange: Exchange,
        block: suspend Raise<Refusal>.(Caller, EnvironmentSettings) -> Unit,
    ) {
        val result =
            either {
                val caller = keys.authenticate(exchange.bearer).bind()
                val environment = settings.currentOrRefusal().bind()
                block(caller, environment)
            }
        result.onLeft { responder.refuse(exchange, it) }
    }

    private suspend fun Raise<Refusal>.read(
        exchange: Exchange,
        environment: EnvironmentSettings,
    ): JsonObject {
        val body = readObject(exchange.call, environment.limits.maxBodyBytes).bind()
        return redactor.redact(body, exchange.bearer).jsonObject
    }

    private fun forwardRequest(
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

    /** Returns the id of the program to open; a name chosen by the caller yields the same id in each retry. */
    private fun programIdOf(
        account: ClientAccountId,
        open: OpenProgramRequest,
    ): ProgramId {
        val name = open.name
        val parent = open.parent
        if (parent != null) return parent.child(name ?: randomId())
        if (name == null) return ProgramId("r-${randomId()}")
        return ProgramId("c-" + sha256("${account.value}\n$name").take(DERIVED_ID_LENGTH))
    }

    private fun randomId(): String = UUID.randomUUID().toString().replace("-", "")

    private fun Raise<Refusal>.programId(text: String?): ProgramId =
        OpenProgramRequest.parseProgramId(text ?: raise(badRequest("The program id is missing."))).bind()

    private fun Raise<Refusal>.turnNumber(text: String?): Int {
        val number = text?.takeIf { it.length <= MAX_TURN_DIGITS }?.toIntOrNull()
        ensure(number != null && number >= 1) { badRequest("The turn number must be an integer from 1 to 9999999.") }
        return number
    }

    private fun extractCompletion(answer: ForwardedAnswer): ForwardedAnswer {
        if (answer.refusal != null) return answer
        val turn = Json.parseToJsonElement(answer.body).jsonObject
        return answer.copy(body = turn["body"].toString())
    }

    private companion object {
        const val PROGRAM_HEADER = "X-Program-Id"
        const val TURN_HEADER = "X-Turn"
        const val HTTP_OK = 200
        const val DERIVED_ID_LENGTH = 32
        const val MAX_TURN_DIGITS = 7
    }
}
