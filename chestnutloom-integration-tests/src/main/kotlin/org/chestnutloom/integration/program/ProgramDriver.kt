package org.chestnutloom.integration.program

import io.ktor.http.HttpMethod
import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import org.chestnutloom.integration.caller.CallerClient
import org.chestnutloom.integration.caller.CallerResponse
import org.chestnutloom.integration.fleet.TEST_SERVICE

/**
 * Runs one agent program through the gateways.
 *
 * @property gateways base URLs; a failed request is retried through the next one
 * @property exchanges receives every request and its result, in the order in which the results arrive
 */
class ProgramDriver(
    private val caller: CallerClient,
    private val gateways: () -> List<String>,
    private val key: String,
    private val firstGateway: Int = 0,
    private val exchanges: MutableList<RecordedExchange> = mutableListOf(),
) {
    /** The program's id; set by [open]. */
    var id: String = ""
        private set

    /** All requests so far with their results. */
    val responses: List<RecordedExchange>
        get() = exchanges

    /** Opens the program with [name] as the id chosen by the caller, so that a retry opens no second program. */
    suspend fun open(
        name: String,
        tokens: Long = 100_000,
        calls: Long = 1_000,
        wallTimeMs: Long = 600_000,
        parent: String? = null,
    ): CallerResponse.Complete {
        val body =
            buildJsonObject {
                put("id", name)
                parent?.let { put("parent", it) }
                putJsonObject("budget") {
                    put("tokens", tokens)
                    put("calls", calls)
                    put("wall_time_ms", wallTimeMs)
                }
            }
        val response = sendUntilComplete(HttpMethod.Post, "/v1/programs", body)
        if (response.status in SUCCESS_STATUSES) {
            id =
                response
                    .json()
                    .getValue("id")
                    .toString()
                    .trim('"')
        }
        return response
    }

    /** Runs model turn [number]; retries aborted connections, incomplete streams, calls not run, turns in progress. */
    suspend fun runModelTurn(
        number: Int,
        message: String,
        maxTokens: Int = 8,
        stream: Boolean = false,
    ): CallerResponse.Complete =
        sendUntilComplete(HttpMethod.Post, "/v1/programs/$id/turns/$number", modelBody(message, maxTokens, stream))

    /** Runs tool turn [number]; retries aborted connections, calls that did not run and turns in progress. */
    suspend fun runToolTurn(
        number: Int,
        effect: String,
        idempotent: Boolean = false,
    ): CallerResponse.Complete =
        sendUntilComplete(HttpMethod.Post, "/v1/programs/$id/turns/$number", toolBody(effect, idempotent))

    /** Sends one request through gateway [gateway] without retries. */
    suspend fun sendOnce(
        gateway: Int,
        method: HttpMethod,
        path: String,
        body: JsonObject? = null,
    ): CallerResponse {
        val urls = gateways()
        val response = caller.send(urls[gateway % urls.size], method, path, key, body)
        exchanges += RecordedExchange(path, body, response)
        return response
    }

    /** Reads the program. */
    suspend fun read(): CallerResponse.Complete = sendUntilComplete(HttpMethod.Get, "/v1/programs/$id")

    /** Reads completed turn [number]. */
    suspend fun readTurn(number: Int): CallerResponse.Complete =
        sendUntilComplete(HttpMethod.Get, "/v1/programs/$id/turns/$number")

    /** Closes the program. */
    suspend fun close(): CallerResponse.Complete =
        sendUntilComplete(HttpMethod.Post, "/v1/programs/$id/close", buildJsonObject {})

    /** Cancels the program. */
    suspend fun cancel(): CallerResponse.Complete =
        sendUntilComplete(
            HttpMethod.Post,
            "/v1/programs/$id/cancel",
            buildJsonObject {
            },
        )

    private suspend fun sendUntilComplete(
        method: HttpMethod,
        path: String,
        body: JsonObject? = null,
    ): CallerResponse.Complete {
        var last: CallerResponse = CallerResponse.Aborted("not sent")
        repeat(MAX_ATTEMPTS) { attempt ->
            last = sendOnce(firstGateway + attempt, method, path, body)
            val complete = last as? CallerResponse.Complete
            if (complete != null && !isRetryable(complete)) return complete
            delay(RETRY_DELAY_MS)
        }
        return last as? CallerResponse.Complete ?: throw NoResponseException(path, last)
    }

    private fun isRetryable(response: CallerResponse.Complete): Boolean {
        if (response.isIncompleteStream) return true
        val error = response.error ?: return false
        return error.code in retryableCodes && error.execution == "not_run" || error.code in inProgressCodes
    }

    companion object {
        private const val MAX_ATTEMPTS = 80
        private const val RETRY_DELAY_MS = 250L
        private val SUCCESS_STATUSES = 200..299
        private val retryableCodes =
            setOf(
                "overloaded",
                "no_target",
                "store_unavailable",
                "gateway_stale",
                "stopping",
                "target_lost",
                "rate_limited",
            )
        private val inProgressCodes = setOf("turn_in_progress")

        /** Returns the request body of a model turn. */
        fun modelBody(
            message: String,
            maxTokens: Int,
            stream: Boolean,
        ): JsonObject =
            buildJsonObject {
                put("kind", "model")
                put("request", completionBody(message, maxTokens, stream))
            }

        /** Returns the request body of a tool turn whose effect is identified by [effect]. */
        fun toolBody(
            effect: String,
            idempotent: Boolean,
        ): JsonObject =
            buildJsonObject {
                put("kind", "tool")
                put("service", TEST_SERVICE)
                put("method", "POST")
                put("path", "/pay")
                put("idempotent", idempotent)
                putJsonObject("body") { put("effect", effect) }
            }
    }
}
