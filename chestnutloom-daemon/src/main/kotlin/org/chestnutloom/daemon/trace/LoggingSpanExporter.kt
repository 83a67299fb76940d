package org.chestnutloom.daemon.trace

import io.github.oshai.kotlinlogging.KotlinLogging
import io.opentelemetry.sdk.common.CompletableResultCode
import io.opentelemetry.sdk.trace.data.SpanData
import io.opentelemetry.sdk.trace.export.SpanExporter
import org.chestnutloom.common.log.event
import kotlin.time.Duration.Companion.nanoseconds

private val logger = KotlinLogging.logger {}

/** Logs each span as a line of key=value pairs. */
internal class LoggingSpanExporter : SpanExporter {
    override fun export(spans: Collection<SpanData>): CompletableResultCode {
        spans.forEach { log(it) }
        return CompletableResultCode.ofSuccess()
    }

    override fun flush(): CompletableResultCode = CompletableResultCode.ofSuccess()

    override fun shutdown(): CompletableResultCode = CompletableResultCode.ofSuccess()

    private fun log(span: SpanData) {
        val durationMs = (span.endEpochNanos - span.startEpochNanos).nanoseconds.inWholeMilliseconds
        val attributes = span.attributes.asMap().map { (key, value) -> key.key to value }
        val fields =
            listOf(
                "trace" to span.traceId,
                "span" to span.spanId,
                "parent" to if (span.parentSpanContext.isValid) span.parentSpanId else "none",
                "name" to span.name,
                "duration_ms" to durationMs,
                "status" to span.status.statusCode,
            )
        logger.event("span", *(fields + attributes).toTypedArray())
    }
}
