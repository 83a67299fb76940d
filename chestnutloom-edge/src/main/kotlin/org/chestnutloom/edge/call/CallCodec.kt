package org.chestnutloom.edge.call

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import org.chestnutloom.call.Refusal
import org.chestnutloom.edge.http.CallerRequest
import org.chestnutloom.edge.target.TargetEntry
import org.chestnutloom.id.CallId
import org.chestnutloom.id.ClientAccountId
import kotlin.time.Duration

/** Reads and writes the headers by which callers, this system and targets speak to each other. */
public interface CallCodec {
    /** Reads what the caller of [request] says of it. */
    public fun head(request: CallerRequest): CallHead

    /**
     * Returns the headers that [target] gets.
     *
     * @param account whose key came with the request, or null on routes that need none
     * @param timeLeft how long the caller waits from now on
     */
    public fun targetHeaders(
        request: CallerRequest,
        target: TargetEntry,
        account: ClientAccountId?,
        timeLeft: Duration,
    ): HttpHeaders

    /** Returns the call that [response] names as the one that it answers, or null when it names none. */
    public fun responseCallId(response: HttpResponse): CallId?

    /** Reads the head of a target's answer. */
    public fun responseHead(response: HttpResponse): ResponseHead

    /** Returns the status by which a caller learns of [refusal]. */
    public fun statusOf(refusal: Refusal): Int

    /** Returns the headers of the answer that tells a caller of [refusal]. */
    public fun refusalHeaders(
        refusal: Refusal,
        call: CallId?,
    ): HttpHeaders
}
