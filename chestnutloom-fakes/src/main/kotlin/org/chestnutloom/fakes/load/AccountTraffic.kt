package org.chestnutloom.fakes.load

import org.chestnutloom.time.Clock
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder

/** Counts the requests of one client account by their outcome. */
internal class AccountTraffic(
    ratePerSecond: Double,
    burst: Int,
    private val clock: Clock,
) {
    private val bucket = ReferenceTokenBucket(ratePerSecond, burst)
    private val refusals = ConcurrentHashMap<String, LongAdder>()
    private val wrongfulRefusals = ConcurrentHashMap<String, LongAdder>()
    private val requests = LongAdder()
    private val requestsInsideRate = LongAdder()
    private val failed = LongAdder()
    private val wrongAnswers = LongAdder()
    private val modelTurns = LongAdder()

    val requestCount: Long
        get() = requests.sum()

    val insideRateCount: Long
        get() = requestsInsideRate.sum()

    val failedCount: Long
        get() = failed.sum()

    val wrongAnswerCount: Long
        get() = wrongAnswers.sum()

    val modelTurnCount: Long
        get() = modelTurns.sum()

    val refusalsByCode: Map<String, Long>
        get() = refusals.mapValues { it.value.sum() }.toSortedMap()

    val wrongfulRefusalsByCode: Map<String, Long>
        get() = wrongfulRefusals.mapValues { it.value.sum() }.toSortedMap()

    /** Sends one request through [request] and counts its outcome. */
    suspend fun send(request: suspend () -> LoadResponse): LoadResponse {
        val insideRate = bucket.charge(clock.elapsed())
        requests.increment()
        if (insideRate) requestsInsideRate.increment()
        val response = request()
        when (response) {
            is LoadResponse.Complete -> return response
            is LoadResponse.Failed -> failed.increment()
            is LoadResponse.Refused -> countRefusal(response, insideRate)
        }
        return response
    }

    fun countModelTurn() {
        modelTurns.increment()
    }

    fun countWrongAnswer() {
        wrongAnswers.increment()
    }

    private fun countRefusal(
        refusal: LoadResponse.Refused,
        insideRate: Boolean,
    ) {
        refusals.computeIfAbsent(refusal.code) { LongAdder() }.increment()
        if (refusal.code == RATE_LIMITED) bucket.refund()
        if (insideRate && refusal.code in CAPACITY_CODES) {
            wrongfulRefusals.computeIfAbsent(refusal.code) { LongAdder() }.increment()
        }
    }

    private companion object {
        const val RATE_LIMITED = "rate_limited"

        /** Error codes that a request within its account's rate should never receive. */
        val CAPACITY_CODES =
            setOf(RATE_LIMITED, "overloaded", "no_target", "store_unavailable", "gateway_stale", "stopping", "timeout")
    }
}
