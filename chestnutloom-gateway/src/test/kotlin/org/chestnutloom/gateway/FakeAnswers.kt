package org.chestnutloom.gateway

import org.chestnutloom.call.Usage
import org.chestnutloom.wire.message.CallEnded

/** Answers that tests put into sidecars. */
internal object FakeAnswers {
    val paid = CallEnded(200, "application/json", "{\"paid\":\"collected\"}", 0, Usage(), 5)
}
