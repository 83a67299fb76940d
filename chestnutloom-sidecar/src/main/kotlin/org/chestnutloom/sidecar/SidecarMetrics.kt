package org.chestnutloom.sidecar

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import org.chestnutloom.call.Refusal
import org.chestnutloom.sidecar.call.AnswerMemory
import org.chestnutloom.sidecar.schedule.QueueLoad
import java.util.concurrent.TimeUnit

/** The metrics of a sidecar. */
internal class SidecarMetrics(
    private val registry: MeterRegistry,
) {
    private val queueWait: Timer = registry.timer("chestnutloom.sidecar.queue.wait")
    private val service: Timer = registry.timer("chestnutloom.sidecar.service")
    private val resumes: Counter = registry.counter("chestnutloom.sidecar.stream.resumes")
    private val crashes: Counter = registry.counter("chestnutloom.sidecar.target.crashes")

    /** Number of tokens in the engine's cache at the last sweep. */
    @Volatile
    var cachedTokens: Long = 0

    init {
        registry.gauge("chestnutloom.sidecar.cache.tokens", this) { it.cachedTokens.toDouble() }
    }

    /** Registers gauges for [load] and [memory]. */
    fun registerGauges(
        load: () -> QueueLoad,
        memory: AnswerMemory,
    ) {
        registry.gauge("chestnutloom.sidecar.queue.calls", load) { it().queuedCalls.toDouble() }
        registry.gauge("chestnutloom.sidecar.queue.tokens", load) { it().queuedTokens.toDouble() }
        registry.gauge("chestnutloom.sidecar.running.calls", load) { it().runningCalls.toDouble() }
        registry.gauge("chestnutloom.sidecar.answers.bytes", memory) { it.used.toDouble() }
    }

    fun recordStart(queuedMs: Long) = queueWait.record(queuedMs, TimeUnit.MILLISECONDS)

    fun recordService(serviceMs: Long) = service.record(serviceMs, TimeUnit.MILLISECONDS)

    fun recordRefusal(refusal: Refusal) {
        registry.counter("chestnutloom.sidecar.refusals", "code", refusal.code.wireName).increment()
    }

    /** Counts a program whose cache was released; [cause] is `ended` or `swept`. */
    fun recordRelease(cause: String) =
        registry.counter("chestnutloom.sidecar.cache.releases", "cause", cause).increment()

    fun recordResume() = resumes.increment()

    fun recordCrash() = crashes.increment()
}
