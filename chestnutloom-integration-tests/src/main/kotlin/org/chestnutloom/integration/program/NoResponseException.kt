package org.chestnutloom.integration.program

import org.chestnutloom.integration.caller.CallerResponse

/** No gateway gave a whole answer for [path]; [last] is what the last attempt got. */
class NoResponseException(
    path: String,
    last: CallerResponse,
) : Exception("$path: $last")
