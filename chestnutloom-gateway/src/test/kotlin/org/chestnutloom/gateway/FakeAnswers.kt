package org.chestnutloom.gateway

import org.chestnutloom.call.Usage
import org.chestnutloom.wire.message.CallEnded

/** Call results that tests place in [FakeSidecar.answers]. */
internal object FakeAnswers {
    val paid = CallEnded(200, "application/json", "{\"paid\":\"collected\"}", 0, Usage(), 5)
}
