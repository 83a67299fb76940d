package org.chestnutloom.edge.call

import org.chestnutloom.edge.config.AccountSettings
import org.chestnutloom.edge.config.Route
import org.chestnutloom.edge.http.ResponseEnding
import org.chestnutloom.edge.http.ResponseFraming
import org.chestnutloom.edge.quota.QuotaGrant
import kotlin.time.Duration

/** Collects the fields of a request's log line while the request is handled. */
internal class RequestLogContext(
    val startedAt: Duration,
) {
    var head: CallHead? = null
    var configurationVersion: Long = 0

    /** The time between the store's last answer about the configuration and the request; null without one. */
    var configurationAge: Duration? = null
    var route: Route? = null
    var account: AccountSettings? = null

    /** The request's admission by the rate limit of its account. */
    var quotaGrant: QuotaGrant? = null
    var call: RoutedCall? = null
    var status: Int = 0
    var outcome: String = "unfinished"
    var detail: String = ""

    /** How the response to the caller ended. */
    var ending: ResponseEnding = ResponseEnding.NONE

    /** How the end of the last response that ended was recognized, or null if none has ended. */
    val framing: ResponseFraming?
        get() = call?.bodyEvidence?.framing

    /** How the content of the last response that ended ends, or null if none has ended. */
    val content: ContentEnd?
        get() = call?.bodyEvidence?.content

    /** Why the relayed response counts as complete, or null if it does not. */
    val evidence: CompletionEvidence?
        get() = (call?.bodyEnd as? BodyEnd.Complete)?.evidence

    /** The number of attempts in which a target may have run the request. */
    val runs: Int
        get() = call?.runs ?: 0
}
