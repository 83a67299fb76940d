package org.chestnutloom.gateway.control

import kotlinx.coroutines.sync.Mutex
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.GatewayId
import org.chestnutloom.rate.HeldRights
import org.chestnutloom.rate.RightsRecord
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

/** This gateway's rate rights of one client account, with the locks and counters for borrowing and rebalancing. */
internal class AccountRights(
    val account: ClientAccountId,
    val held: HeldRights,
) {
    /** Held during the first read of the rights row. */
    val firstLoadMutex = Mutex()

    /** Held while the rights row is read or written. */
    val rowMutex = Mutex()

    /** Held while tokens are borrowed from other gateways. */
    val borrowMutex = Mutex()

    /** The number of requests waiting for borrowed tokens. */
    val waitingRequests = AtomicInteger()

    /** The number of requests received here, halved at each run of [RateControl.maintain]. */
    val ownDemand = AtomicLong()

    /** The number of requests not covered by this gateway's tokens since the last run of [RateControl.maintain]. */
    val shortages = AtomicLong()

    /** The number of loans that each other gateway requested, halved at each run of [RateControl.maintain]. */
    val peerDemand = ConcurrentHashMap<GatewayId, Long>()

    /** The rights row as last read or written, or null before the first read. */
    @Volatile
    var record: RightsRecord? = null

    /** The earliest time of the next attempt to borrow, on the monotonic clock. */
    @Volatile
    var nextBorrowAt: Duration = Duration.ZERO

    /** The result of the last attempt to borrow. */
    @Volatile
    var lastOutcome: BorrowOutcome = BorrowOutcome.EXHAUSTED
}
