package org.chestnutloom.edge.call

import io.netty.handler.codec.http.HttpHeaders

/**
 * Status and headers of a target's answer.
 *
 * @property headers what the caller may see of them
 * @property isNotRun whether the target says that it did not run the request and never will
 * @property isSigned whether the answer bears the target's signature
 * @property impliesNotRun whether the status alone would tell the caller that the request did not run
 */
public class ResponseHead(
    public val status: Int,
    public val headers: HttpHeaders,
    public val isNotRun: Boolean,
    public val isSigned: Boolean,
    public val impliesNotRun: Boolean,
) {
    /** Whether the target says that the request succeeded. */
    public val isSuccess: Boolean
        get() = status in SUCCESSES

    private companion object {
        private val SUCCESSES = 200..299
    }
}
