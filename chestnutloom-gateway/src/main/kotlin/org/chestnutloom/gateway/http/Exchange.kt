package org.chestnutloom.gateway.http

import io.ktor.server.application.ApplicationCall
import io.opentelemetry.api.trace.Span

/**
 * One HTTP request of a caller and the data that the HTTP server attaches to it.
 *
 * @property bearer the access key from the `Authorization` header, or null
 * @property route the name of the route in metrics and logs
 */
internal class Exchange(
    val call: ApplicationCall,
    val requestId: String,
    val bearer: String?,
    val route: String,
    val span: Span,
)
