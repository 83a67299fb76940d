package org.chestnutloom.integration.program

import org.chestnutloom.integration.caller.CallerResponse

/** Thrown when no attempt at [path] got a complete response; [last] is the result of the last attempt. */
class NoResponseException(
    path: String,
    last: CallerResponse,
) : Exception("no complete response for $path; last attempt: $last")
