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

/** What this gateway keeps of one client account's rights beside its tokens. */
internal class AccountRights(
    val account: ClientAccountId,
    val held: HeldRights,
) {
    /** Held while the rights row is read for the first time. */
    val firstLoadMutex = Mutex()

    /** Held while the rights row is read or written. */
    val rowMutex = Mutex()

    /** Held while other gateways are asked for tokens. */
    val borrowMutex = Mutex()

    /** Requests that wait for borrowed tokens. */
    val waiting = AtomicInteger()

    /** Requests that came since the newest rebalancing. */
    val ownDemand = AtomicLong()

    /** Requests since the newest rebalancing that own tokens did not cover. */
    val shortages = AtomicLong()

    /** Requests that other gateways asked tokens for since the newest rebalancing. */
    val peerDemand = ConcurrentHashMap<GatewayId, Long>()

    /** The rights row as last read or written, or null before the first read. */
    @Volatile
    var record: RightsRecord? = null

    /** Before this moment other gateways are not asked again. */
    @Volatile
    var nextAskAt: Duration = Duration.ZERO

    /** How the newest vain attempt to borrow ended. */
    @Volatile
    var lastOutcome: BorrowOutcome = BorrowOutcome.LACKING
}
