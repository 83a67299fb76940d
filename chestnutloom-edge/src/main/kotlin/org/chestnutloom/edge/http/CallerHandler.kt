package org.chestnutloom.edge.http

/** Handles requests from callers. */
public fun interface CallerHandler {
    /** Handles [request] and responds on [exchange]; cancelled when the caller closes its connection. */
    public suspend fun handle(
        request: CallerRequest,
        exchange: CallerExchange,
    )
}
