package org.chestnutloom.edge.call

import io.github.oshai.kotlinlogging.KotlinLogging
import org.chestnutloom.common.log.event
import org.chestnutloom.edge.http.CallerRequest
import kotlin.time.Duration

private val logger = KotlinLogging.logger {}

/** Writes the line of the log that each request ends with. */
internal object RequestLog {
    /** Logs [request], which took [elapsed], with what [context] has learned of it. */
    fun write(
        request: CallerRequest,
        context: RequestLogContext,
        elapsed: Duration,
    ) {
        logger.event(
            "request",
            "call" to (context.head?.id ?: "none"),
            "path" to request.path,
            "route" to (context.route?.name ?: "none"),
            "account" to (context.account?.id ?: "none"),
            "program" to (context.head?.program ?: "none"),
            "previous" to (context.head?.previousTurn ?: "none"),
            "configuration" to context.configurationVersion,
            "configuration_age_ms" to (context.configurationAge?.inWholeMilliseconds ?: "none"),
            "target" to (context.call?.lastTarget ?: "none"),
            "runs" to context.runs,
            "status" to context.status,
            "outcome" to context.outcome,
            "detail" to context.detail,
            "ending" to context.ending.name.lowercase(),
            "framing" to labelOf(context.framing),
            "content" to labelOf(context.content),
            "evidence" to labelOf(context.evidence),
            "took_ms" to elapsed.inWholeMilliseconds,
        )
    }

    private fun labelOf(value: Enum<*>?): String = value?.name?.lowercase() ?: "none"
}
