package org.chestnutloom.gateway.trace

import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.StatusCode
import io.opentelemetry.api.trace.Tracer
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator
import io.opentelemetry.context.Context
import io.opentelemetry.context.propagation.TextMapGetter
import io.opentelemetry.context.propagation.TextMapSetter
import org.chestnutloom.call.Refusal

private const val TRACE_PARENT = "traceparent"

/** Starts spans as children of the span given in a W3C `traceparent` value. */
internal class Tracing(
    private val tracer: Tracer,
) {
    /** Starts a child span of [traceParent], or a root span if it is null. The calling code must end the span. */
    fun start(
        name: String,
        traceParent: String?,
        vararg attributes: Pair<String, String?>,
    ): Span {
        val span = tracer.spanBuilder(name).setParent(parentContext(traceParent)).startSpan()
        attributes.forEach { (key, value) -> if (value != null) span.setAttribute(key, value) }
        return span
    }

    private fun parentContext(traceParent: String?): Context {
        val carrier = if (traceParent == null) emptyMap() else mapOf(TRACE_PARENT to traceParent)
        return W3CTraceContextPropagator.getInstance().extract(Context.root(), carrier, CarrierGetter)
    }

    private object CarrierGetter : TextMapGetter<Map<String, String>> {
        override fun keys(carrier: Map<String, String>): Iterable<String> = carrier.keys

        override fun get(
            carrier: Map<String, String>?,
            key: String,
        ): String? = carrier?.get(key)
    }
}

/** Returns the `traceparent` value that makes further spans children of this span. */
internal fun Span.traceParent(): String? {
    val carrier = mutableMapOf<String, String>()
    val setter = TextMapSetter<MutableMap<String, String>> { map, key, value -> map?.put(key, value) }
    W3CTraceContextPropagator.getInstance().inject(Context.root().with(this), carrier, setter)
    return carrier[TRACE_PARENT]
}

/** Ends this span, and marks it as an error if [refusal] is not null. */
internal fun Span.end(refusal: Refusal?) {
    if (refusal != null) {
        setStatus(StatusCode.ERROR, refusal.code.wireName)
        setAttribute("execution", refusal.execution.name.lowercase())
    }
    end()
}
