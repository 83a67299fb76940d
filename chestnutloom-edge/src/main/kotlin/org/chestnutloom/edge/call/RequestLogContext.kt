package org.chestnutloom.edge.call

import org.chestnutloom.edge.config.AccountSettings
import org.chestnutloom.edge.config.Route
import kotlin.time.Duration

/** Collects the fields of a request's log line while the request is handled. */
internal class RequestLogContext(
    val startedAt: Duration,
) {
    var head: CallHead? = null
    var configurationVersion: Long = 0
    var route: Route? = null
    var account: AccountSettings? = null

    /** Whether the request was charged to its account's quota. */
    var isAdmitted: Boolean = false
    var call: RoutedCall? = null
    var status: Int = 0
    var outcome: String = "unfinished"
    var detail: String = ""

    /** The number of attempts in which a target may have run the request. */
    val runs: Int
        get() = call?.runs ?: 0
}
