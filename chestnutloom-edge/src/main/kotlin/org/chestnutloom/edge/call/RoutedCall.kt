package org.chestnutloom.edge.call

import org.chestnutloom.edge.budget.Reservation
import org.chestnutloom.edge.budget.TurnTokens
import org.chestnutloom.edge.config.AccountSettings
import org.chestnutloom.edge.config.Route
import org.chestnutloom.edge.config.Service
import org.chestnutloom.edge.crash.RequestFingerprint
import org.chestnutloom.edge.crash.fingerprintOf
import org.chestnutloom.edge.http.CallerExchange
import org.chestnutloom.edge.http.CallerRequest
import org.chestnutloom.edge.http.RequestBody
import org.chestnutloom.edge.target.RunWatch
import org.chestnutloom.edge.turn.TurnChain
import org.chestnutloom.id.CallId
import org.chestnutloom.id.TargetId
import kotlin.time.Duration

/**
 * A request with its route, deadlines and reservation, ready to be sent to a target.
 *
 * @property account the account of the access key in the request, or null on routes that need no key
 * @property deadline the earlier of [callerDeadline] and the end of the route's timeout, on the monotonic clock
 * @property callerDeadline when the caller stops waiting, on the monotonic clock
 * @property body the request body to send to the target
 * @property chain the turns before this one, on routes that retain turns
 * @property tokens the tokens that the program's budget must have before the call is sent to a target, or null without a
 *   budget
 * @property startsProgram whether this is the first turn of its program, as far as this gateway knows
 */
internal class RoutedCall(
    val id: CallId,
    val request: CallerRequest,
    val exchange: CallerExchange,
    val head: CallHead,
    val route: Route,
    val service: Service,
    val account: AccountSettings?,
    val deadline: Duration,
    val callerDeadline: Duration,
    val body: RequestBody,
    val chain: TurnChain?,
    val tokens: TurnTokens?,
    val startsProgram: Boolean,
) {
    /** The tokens reserved from the program's budget, or null if none are. */
    var reservation: Reservation? = null

    /** How long the caller waits in total. */
    val callerTimeout: Duration
        get() = callerDeadline - request.receivedAt

    /** Targets to which the request must not be sent again. */
    val excludedTargets: MutableSet<TargetId> = mutableSetOf()

    /** The number of attempts in which a target may have run the request. */
    var runs: Int = 0

    /** The target to which the request was sent last. */
    var lastTarget: TargetId? = null

    /** Watches the run of the target that serves the current attempt; null before the first one. */
    var runWatch: RunWatch? = null

    /** What the body of the last response that ended shows about its end, or null if none has ended. */
    var bodyEvidence: BodyEvidence? = null

    /** How the body of the response that was relayed ended, or null if none was. */
    var bodyEnd: BodyEnd? = null

    /** Identifies the request across retries by its caller. */
    val fingerprint: RequestFingerprint by lazy(LazyThreadSafetyMode.NONE) { fingerprintOf(request, account?.id) }

    /** The request's priority; 0 is the highest. */
    val priority: Int
        get() = account?.priority ?: route.priority
}
