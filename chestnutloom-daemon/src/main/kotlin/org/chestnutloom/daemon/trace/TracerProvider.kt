package org.chestnutloom.daemon.trace

import io.opentelemetry.api.common.AttributeKey
import io.opentelemetry.api.common.Attributes
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter
import io.opentelemetry.sdk.resources.Resource
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor
import io.opentelemetry.sdk.trace.export.SpanExporter
import io.opentelemetry.sdk.trace.samplers.Sampler
import org.chestnutloom.daemon.settings.CommonSettings
import java.time.Duration

/** Returns the tracer provider of the process [id] in [role]; spans are exported over OTLP or logged. */
internal fun createTracerProvider(
    settings: CommonSettings,
    role: String,
    id: String,
): SdkTracerProvider {
    val attributes =
        Attributes
            .builder()
            .put(AttributeKey.stringKey("service.name"), "chestnutloom-$role")
            .put(AttributeKey.stringKey("service.instance.id"), id)
            .build()
    val processor = BatchSpanProcessor.builder(exporter(settings)).setScheduleDelay(EXPORT_INTERVAL).build()
    return SdkTracerProvider
        .builder()
        .setResource(Resource.getDefault().merge(Resource.create(attributes)))
        .setSampler(Sampler.parentBased(Sampler.traceIdRatioBased(settings.traceRatio)))
        .addSpanProcessor(processor)
        .build()
}

private fun exporter(settings: CommonSettings): SpanExporter {
    val endpoint = settings.otlpEndpoint ?: return LoggingSpanExporter()
    return OtlpHttpSpanExporter.builder().setEndpoint(endpoint).build()
}

private val EXPORT_INTERVAL = Duration.ofMillis(500)
