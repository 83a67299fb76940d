package org.chestnutloom.daemon

import io.micrometer.core.instrument.MeterRegistry
import io.opentelemetry.api.trace.Tracer
import kotlinx.coroutines.CoroutineScope
import org.chestnutloom.common.node.Node
import org.chestnutloom.time.Clock

/** Creates the node that a daemon runs. */
internal fun interface NodeFactory {
    fun create(
        clock: Clock,
        metrics: MeterRegistry,
        tracer: Tracer,
        scope: CoroutineScope,
    ): Node
}
