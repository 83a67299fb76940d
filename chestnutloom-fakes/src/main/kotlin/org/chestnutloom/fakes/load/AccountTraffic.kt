package org.chestnutloom.fakes.load

import org.chestnutloom.time.Clock
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder

/** Counts what the requests of one client account met. */
internal class AccountTraffic(
    ratePerSecond: Double,
    burst: Int,
    private val clock: Clock,
) {
    private val bucket = ReferenceBucket(ratePerSecond, burst)
    private val refusals = ConcurrentHashMap<String, LongAdder>()
    private val wrongfulRefusals = ConcurrentHashMap<String, LongAdder>()
    private val requests = LongAdder()
    private val requestsInsideRate = LongAdder()
    private val broken = LongAdder()
    private val wrongAnswers = LongAdder()
    private val modelTurns = LongAdder()

    val requestCount: Long
        get() = requests.sum()

    val insideRateCount: Long
        get() = requestsInsideRate.sum()

    val brokenCount: Long
        get() = broken.sum()

    val wrongAnswerCount: Long
        get() = wrongAnswers.sum()

    val modelTurnCount: Long
        get() = modelTurns.sum()

    val refusalsByCode: Map<String, Long>
        get() = refusals.mapValues { it.value.sum() }.toSortedMap()

    val wrongfulRefusalsByCode: Map<String, Long>
        get() = wrongfulRefusals.mapValues { it.value.sum() }.toSortedMap()

    /** Sends one request by [send] and counts its outcome. */
    suspend fun send(send: suspend () -> LoadAnswer): LoadAnswer {
        val insideRate = bucket.send(clock.elapsed())
        requests.increment()
        if (insideRate) requestsInsideRate.increment()
        val answer = send()
        when (answer) {
            is LoadAnswer.Whole -> return answer
            is LoadAnswer.Broken -> broken.increment()
            is LoadAnswer.Refused -> refused(answer, insideRate)
        }
        return answer
    }

    fun modelTurnRan() {
        modelTurns.increment()
    }

    fun wrongAnswer() {
        wrongAnswers.increment()
    }

    private fun refused(
        refusal: LoadAnswer.Refused,
        insideRate: Boolean,
    ) {
        refusals.computeIfAbsent(refusal.code) { LongAdder() }.increment()
        if (refusal.code == RATE_LIMITED) bucket.giveBack()
        if (insideRate && refusal.code in CAPACITY_CODES) {
            wrongfulRefusals.computeIfAbsent(refusal.code) { LongAdder() }.increment()
        }
    }

    private companion object {
        const val RATE_LIMITED = "rate_limited"

        /** The refusals that no request inside its account's rate should meet. */
        val CAPACITY_CODES =
            setOf(RATE_LIMITED, "overloaded", "no_target", "store_unavailable", "gateway_stale", "stopping", "timeout")
    }
}
