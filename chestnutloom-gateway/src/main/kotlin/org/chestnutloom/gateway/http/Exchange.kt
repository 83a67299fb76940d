package org.chestnutloom.gateway.http

import io.ktor.server.application.ApplicationCall
import io.opentelemetry.api.trace.Span

/**
 * One request of a caller and what is known of it at the edge.
 *
 * @property bearer the access key that the caller shows, or null
 * @property route the name of the route, for metrics and logs
 */
internal class Exchange(
    val call: ApplicationCall,
    val requestId: String,
    val bearer: String?,
    val route: String,
    val span: Span,
)
