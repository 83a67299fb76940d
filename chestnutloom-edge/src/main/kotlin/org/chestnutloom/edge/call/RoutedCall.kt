package org.chestnutloom.edge.call

import org.chestnutloom.edge.budget.Reservation
import org.chestnutloom.edge.config.AccountSettings
import org.chestnutloom.edge.config.Route
import org.chestnutloom.edge.config.Service
import org.chestnutloom.edge.crash.RequestFingerprint
import org.chestnutloom.edge.crash.fingerprintOf
import org.chestnutloom.edge.http.CallerExchange
import org.chestnutloom.edge.http.CallerRequest
import org.chestnutloom.edge.turn.TurnChain
import org.chestnutloom.id.CallId
import org.chestnutloom.id.TargetId
import kotlin.time.Duration

/**
 * A request that was admitted and is on its way to a target.
 *
 * @property account whose key came with the request, or null where none is needed
 * @property deadline when the caller stops waiting or the route's timeout ends, on the monotonic clock
 * @property callerDeadline when the caller stops waiting, on the monotonic clock
 * @property body what the target gets
 * @property chain the turns before this one, on routes that keep what was said
 * @property reservation the right to generate tokens, where the program has a budget
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
    val body: ByteArray,
    val chain: TurnChain?,
    val reservation: Reservation?,
) {
    /** How long the caller waits in all. */
    val callerTimeout: Duration
        get() = callerDeadline - request.receivedAt

    /** Targets that must not get the request again. */
    val excluded: MutableSet<TargetId> = mutableSetOf()

    /** How often the request was sent to a target that may have run it. */
    var runs: Int = 0

    /** The target that got the request last. */
    var lastTarget: TargetId? = null

    /** Names the request among those that may be sent again. */
    val fingerprint: RequestFingerprint by lazy(LazyThreadSafetyMode.NONE) { fingerprintOf(request, account?.id) }

    /** Whether no other request of the same program was served yet, as far as is known here. */
    val startsProgram: Boolean
        get() = reservation?.startsProgram == true

    /** The request's urgency, 0 being the most urgent. */
    val rank: Int
        get() = account?.priority ?: route.priority
}
