package org.chestnutloom.edge.http

/** Answers callers' requests. */
public fun interface CallerHandler {
    /** Answers [request] by [exchange]; cancelled when the caller closes its connection. */
    public suspend fun handle(
        request: CallerRequest,
        exchange: CallerExchange,
    )
}
