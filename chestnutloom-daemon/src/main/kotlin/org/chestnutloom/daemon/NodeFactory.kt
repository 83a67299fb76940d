package org.chestnutloom.daemon

import io.micrometer.core.instrument.MeterRegistry
import io.opentelemetry.api.trace.Tracer
import kotlinx.coroutines.CoroutineScope
import org.chestnutloom.common.node.Node
import org.chestnutloom.time.Clock

/** Creates the node that a daemon runs; `tracer` is created at its first use, since not all nodes trace. */
internal fun interface NodeFactory {
    fun create(
        clock: Clock,
        metrics: MeterRegistry,
        tracer: Lazy<Tracer>,
        scope: CoroutineScope,
    ): Node
}
