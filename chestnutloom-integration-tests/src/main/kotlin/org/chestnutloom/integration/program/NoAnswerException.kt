package org.chestnutloom.integration.program

import org.chestnutloom.integration.caller.CallerAnswer

/** No gateway gave a whole answer for [path]; [last] is what the last attempt got. */
class NoAnswerException(
    path: String,
    last: CallerAnswer,
) : Exception("$path: $last")
