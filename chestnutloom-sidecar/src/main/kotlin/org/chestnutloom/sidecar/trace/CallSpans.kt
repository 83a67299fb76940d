package org.chestnutloom.sidecar.trace

import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.api.trace.StatusCode
import io.opentelemetry.api.trace.Tracer
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator
import io.opentelemetry.context.Context
import io.opentelemetry.context.propagation.TextMapGetter
import io.opentelemetry.context.propagation.TextMapSetter
import org.chestnutloom.sidecar.call.CallRecord
import org.chestnutloom.wire.message.CallEnded
import org.chestnutloom.wire.message.CallRefused
import org.chestnutloom.wire.message.LinkReply

/** Creates one span per call, as a child of the span in the call's trace context. */
internal class CallSpans(
    private val tracer: Tracer,
    private val target: String,
) {
    fun start(record: CallRecord): Span {
        val request = record.request
        val builder = tracer.spanBuilder("sidecar.call").setSpanKind(SpanKind.CLIENT)
        request.traceParent?.let { builder.setParent(contextOf(it)) }
        val span = builder.startSpan()
        span.setAttribute("target", target)
        span.setAttribute("call_id", request.id.value)
        span.setAttribute("attempt", request.attempt.toLong())
        request.program?.let { span.setAttribute("program", it.value) }
        return span
    }

    fun end(
        span: Span,
        reply: LinkReply,
    ) {
        if (reply is CallEnded) span.setAttribute("status", reply.status.toLong())
        if (reply is CallRefused) span.setStatus(StatusCode.ERROR, reply.refusal.code.wireName)
        span.end()
    }

    /** Returns the `traceparent` header value for [span], or null if its span context is invalid. */
    fun traceParentOf(span: Span): String? {
        val carrier = HashMap<String, String>()
        propagator.inject(Context.root().with(span), carrier, setter)
        return carrier[TRACE_PARENT]
    }

    private fun contextOf(traceParent: String): Context =
        propagator.extract(Context.root(), mapOf(TRACE_PARENT to traceParent), getter)

    private companion object {
        const val TRACE_PARENT = "traceparent"
        val propagator: W3CTraceContextPropagator = W3CTraceContextPropagator.getInstance()
        val setter = TextMapSetter<HashMap<String, String>> { carrier, key, value -> carrier?.put(key, value) }
        val getter =
            object : TextMapGetter<Map<String, String>> {
                override fun keys(carrier: Map<String, String>): Iterable<String> = carrier.keys

                override fun get(
                    carrier: Map<String, String>?,
                    key: String,
                ): String? = carrier?.get(key)
            }
    }
}
