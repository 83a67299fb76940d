package org.chestnutloom.edge.call

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import kotlinx.collections.immutable.ImmutableSet
import org.chestnutloom.call.Refusal
import org.chestnutloom.edge.http.CallerRequest
import org.chestnutloom.edge.target.TargetEntry
import org.chestnutloom.id.CallId
import org.chestnutloom.id.ClientAccountId
import kotlin.time.Duration

/** Translates between the platform's HTTP headers and calls. */
public interface CallCodec {
    /** Names of the headers that a target's response has at most once. */
    public val uniqueResponseHeaders: ImmutableSet<String>

    /** Parses the headers of [request]. */
    public fun head(request: CallerRequest): CallHead

    /**
     * Returns the headers to send to [target].
     *
     * @param account the account of the access key in the request, or null on routes that need no key
     * @param timeLeft the time left until the caller stops waiting
     */
    public fun targetHeaders(
        request: CallerRequest,
        target: TargetEntry,
        account: ClientAccountId?,
        timeLeft: Duration,
    ): HttpHeaders

    /** Returns the id of the call that [response] belongs to, or null if it has none. */
    public fun responseCallId(response: HttpResponse): CallId?

    /** Parses the head of a target's response. */
    public fun responseHead(response: HttpResponse): ResponseHead

    /** Returns the HTTP status for [refusal]. */
    public fun statusOf(refusal: Refusal): Int

    /** Returns the response headers for [refusal]. */
    public fun refusalHeaders(
        refusal: Refusal,
        call: CallId?,
    ): HttpHeaders
}
