package org.chestnutloom.edge.quota

import org.chestnutloom.edge.fleet.QuotaRefund
import org.chestnutloom.edge.fleet.QuotaReply
import org.chestnutloom.wire.link.PeerAddress
import kotlin.time.Duration

/**
 * Tokens that the replica at [lender] granted by one [grant], to be used within [period] of [sentAt], when they were
 * requested; confined to the event loop.
 */
internal class TokenLoan(
    private val grant: QuotaReply,
    val lender: PeerAddress,
    private val sentAt: SendTime,
    private val period: Duration,
) {
    private var returnedTokens = 0

    /** The tokens that no request uses and that were not returned. */
    var unusedTokens: Int = grant.count
        private set

    /** The number of granted tokens. */
    val grantedTokens: Int
        get() = grant.count

    /** Whether the tokens may be used to start programs. */
    val allowsStarts: Boolean
        get() = grant.allowsStarts

    /** The time for which the tokens may still be used; zero or less once they have lapsed. */
    val remaining: Duration
        get() = period - sentAt.age

    /** Whether a request may use one of the tokens. */
    val isUsable: Boolean
        get() = unusedTokens > 0 && remaining > Duration.ZERO

    /** Uses one token for a request. */
    fun use() {
        unusedTokens--
    }

    /** Takes back the token of a request that no target ran. */
    fun giveBack() {
        unusedTokens++
    }

    /** Returns the message that returns the unused tokens to the lender. */
    fun returnUnused(): QuotaRefund {
        returnedTokens += unusedTokens
        unusedTokens = 0
        return QuotaRefund(grant.id, grant.account, returnedTokens)
    }
}
