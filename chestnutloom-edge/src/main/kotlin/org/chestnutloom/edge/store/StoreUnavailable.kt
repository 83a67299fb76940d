package org.chestnutloom.edge.store

import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode

/** Callers have few attempts; with a shorter time they use them up before a typical outage ends. */
private const val RETRY_AFTER_MS = 1_000L

/** Returns the refusal of a request that was not run because neither the store nor a gateway relaying to it replied. */
internal fun storeUnavailable(detail: String): Refusal =
    Refusal(RefusalCode.STORE_UNAVAILABLE, Execution.NOT_RUN, detail, RETRY_AFTER_MS)
