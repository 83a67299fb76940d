package org.chestnutloom.fakes.load

import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import org.chestnutloom.fakes.engine.GeneratedText
import org.chestnutloom.fakes.workload.ProgramPlan
import org.chestnutloom.fakes.workload.TurnPlan
import kotlin.time.Duration.Companion.milliseconds

/**
 * Runs the programs of one client account by sending requests as its callers do.
 *
 * @property onOpened called with the id of each opened program
 */
internal class ProgramRunner(
    private val client: LoadClient,
    private val key: String,
    private val traffic: AccountTraffic,
    private val model: String,
    private val service: String,
    private val onOpened: (ProgramPlan, String) -> Unit,
) {
    /**
     * Runs [plan] until it completes.
     *
     * @throws ProgramFailedException if the program cannot continue
     */
    suspend fun run(
        plan: ProgramPlan,
        parent: String? = null,
    ) {
        val id = open(plan, parent)
        onOpened(plan, id)
        val prompt = mutableListOf(PromptMessage("system", plan.prefix))
        coroutineScope {
            plan.turns.forEachIndexed { index, turn ->
                val child = turn.subAgent?.let { async { run(it, id) } }
                runTurn("/v1/programs/$id/turns/${index + 1}", turn, prompt)
                delay(turn.pause)
                child?.await()
            }
        }
        post("/v1/programs/$id/close", buildJsonObject {})
    }

    private suspend fun open(
        plan: ProgramPlan,
        parent: String?,
    ): String {
        var failures = 0
        while (true) {
            var body = ""
            val response =
                traffic.send {
                    val raw = client.post("/v1/programs", key, RequestBodies.open(plan.name, parent))
                    body = (raw as? RawResponse.Received)?.body.orEmpty()
                    parse(raw)
                }
            val id = ResponseParser.field(body, "id")
            if (response is LoadResponse.Complete && id != null) return id
            backOffOrFail(response, failures++)
        }
    }

    private suspend fun runTurn(
        path: String,
        turn: TurnPlan,
        prompt: MutableList<PromptMessage>,
    ) {
        if (turn.isTool) {
            val result = post(path, RequestBodies.tool(service, turn))
            prompt += PromptMessage("tool", result)
            return
        }
        prompt += PromptMessage("user", turn.message)
        val text = post(path, RequestBodies.model(model, turn, prompt))
        traffic.countModelTurn()
        if (text != GeneratedText.full(model, turn.message, turn.completionTokens)) traffic.countWrongAnswer()
        prompt += PromptMessage("assistant", text)
    }

    /** Sends one request, with retries, until its response is complete; returns the text of the response. */
    private suspend fun post(
        path: String,
        body: JsonObject,
    ): String {
        var failures = 0
        while (true) {
            val response = traffic.send { parse(client.post(path, key, body)) }
            if (response is LoadResponse.Complete) return response.text
            backOffOrFail(response, failures++)
        }
    }

    private fun parse(raw: RawResponse): LoadResponse =
        when (raw) {
            is RawResponse.Failed -> LoadResponse.Failed(raw.detail)
            is RawResponse.Received ->
                if (raw.isStream) {
                    ResponseParser.parseStream(raw.body)
                } else {
                    ResponseParser.parseJson(raw.body)
                }
        }

    /** Waits for the longer of the retry time in [response] and an exponential backoff, or fails the program. */
    private suspend fun backOffOrFail(
        response: LoadResponse,
        failures: Int,
    ) {
        if (response is LoadResponse.Refused && !response.isRetryable) {
            throw ProgramFailedException("${response.code}/${response.execution}")
        }
        val backoffMs = INITIAL_BACKOFF_MS shl failures.coerceAtMost(MAX_DOUBLINGS)
        val retryAfterMs = (response as? LoadResponse.Refused)?.retryAfterMs ?: 0
        delay(maxOf(backoffMs, retryAfterMs).coerceAtMost(MAX_RETRY_DELAY_MS).milliseconds)
    }

    private companion object {
        const val INITIAL_BACKOFF_MS = 50L
        const val MAX_DOUBLINGS = 10
        const val MAX_RETRY_DELAY_MS = 5_000L
    }
}
