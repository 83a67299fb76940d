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
 * Plays the programs of one client account as its callers do.
 *
 * @property onOpened is told the id of each program that was opened
 */
internal class ProgramRunner(
    private val client: LoadClient,
    private val key: String,
    private val traffic: AccountTraffic,
    private val model: String,
    private val service: String,
    private val onOpened: (ProgramPlan, String) -> Unit,
) {
    /** Runs [plan] to its end; throws [ProgramFailedException] when it cannot go on. */
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
            val answer =
                traffic.send {
                    val raw = client.post("/v1/programs", key, TurnBodies.open(plan.name, parent))
                    body = (raw as? RawAnswer.Received)?.body.orEmpty()
                    read(raw)
                }
            val id = AnswerParser.field(body, "id")
            if (answer is LoadAnswer.Whole && id != null) return id
            waitOrFail(answer, failures++)
        }
    }

    private suspend fun runTurn(
        path: String,
        turn: TurnPlan,
        prompt: MutableList<PromptMessage>,
    ) {
        if (turn.isTool) {
            val result = post(path, TurnBodies.tool(service, turn))
            prompt += PromptMessage("tool", result)
            return
        }
        prompt += PromptMessage("user", turn.message)
        val text = post(path, TurnBodies.model(model, turn, prompt))
        traffic.modelTurnRan()
        if (text != GeneratedText.full(model, turn.message, turn.answerTokens)) traffic.wrongAnswer()
        prompt += PromptMessage("assistant", text)
    }

    /** Sends one request until it is answered, and returns the answer's text. */
    private suspend fun post(
        path: String,
        body: JsonObject,
    ): String {
        var failures = 0
        while (true) {
            val answer = traffic.send { read(client.post(path, key, body)) }
            if (answer is LoadAnswer.Whole) return answer.text
            waitOrFail(answer, failures++)
        }
    }

    private fun read(raw: RawAnswer): LoadAnswer =
        when (raw) {
            is RawAnswer.Failed -> LoadAnswer.Broken(raw.detail)
            is RawAnswer.Received ->
                if (raw.isStream) {
                    AnswerParser.parseStream(
                        raw.body,
                    )
                } else {
                    AnswerParser.parseWhole(raw.body)
                }
        }

    /** Waits as long as the answer asks for, and longer after each failure of the same request. */
    private suspend fun waitOrFail(
        answer: LoadAnswer,
        failures: Int,
    ) {
        if (answer is LoadAnswer.Refused && !answer.mayRepeat) {
            throw ProgramFailedException("${answer.code}/${answer.execution}")
        }
        val backoffMs = FIRST_RETRY_MS shl failures.coerceAtMost(MOST_DOUBLINGS)
        val retryAfterMs = (answer as? LoadAnswer.Refused)?.retryAfterMs ?: 0
        delay(maxOf(backoffMs, retryAfterMs).coerceAtMost(LONGEST_RETRY_MS).milliseconds)
    }

    private companion object {
        const val FIRST_RETRY_MS = 50L
        const val MOST_DOUBLINGS = 10
        const val LONGEST_RETRY_MS = 5_000L
    }
}
