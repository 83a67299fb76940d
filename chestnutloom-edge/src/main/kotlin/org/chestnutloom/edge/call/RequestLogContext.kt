package org.chestnutloom.edge.call

import org.chestnutloom.edge.config.AccountSettings
import org.chestnutloom.edge.config.Route
import kotlin.time.Duration

/** What is known of a request while it is handled, for its log line. */
internal class RequestLogContext(
    val startedAt: Duration,
) {
    var head: CallHead? = null
    var configurationVersion: Long = 0
    var route: Route? = null
    var account: AccountSettings? = null

    /** Whether the request counts in what its account may ask. */
    var isAdmitted: Boolean = false
    var call: RoutedCall? = null
    var status: Int = 0
    var outcome: String = "unfinished"
    var detail: String = ""

    /** How often the request was sent to a target that may have run it. */
    val runs: Int
        get() = call?.runs ?: 0
}
