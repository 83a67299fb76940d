package org.chestnutloom.edge

import arrow.core.merge
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.edge.budget.BudgetAllocator
import org.chestnutloom.edge.budget.BudgetKey
import org.chestnutloom.edge.crash.RequestFingerprint
import org.chestnutloom.edge.crash.TrialGrants
import org.chestnutloom.edge.store.ChangeFailure
import org.chestnutloom.edge.store.RowSnapshot
import org.chestnutloom.edge.store.RowStore
import org.chestnutloom.edge.store.changeFromWire
import org.chestnutloom.edge.store.toWire
import org.chestnutloom.edge.turn.TurnStore
import org.chestnutloom.wire.link.LinkHandler
import org.chestnutloom.wire.link.PeerIdentity
import org.chestnutloom.wire.message.CallRefused
import org.chestnutloom.wire.message.ChangeStore
import org.chestnutloom.wire.message.ClaimTrial
import org.chestnutloom.wire.message.Done
import org.chestnutloom.wire.message.FindTurn
import org.chestnutloom.wire.message.LinkReply
import org.chestnutloom.wire.message.LinkRequest
import org.chestnutloom.wire.message.ReadStore
import org.chestnutloom.wire.message.StoreReply
import org.chestnutloom.wire.message.TrimBudget
import org.chestnutloom.wire.message.TurnFound

/**
 * Handles requests from other gateways.
 *
 * @param store a direct client of the store, so that a call is never relayed twice
 */
internal class EdgeLinkHandler(
    private val store: RowStore,
    private val budgets: BudgetAllocator,
    private val turns: TurnStore,
    private val trials: TrialGrants,
) : LinkHandler {
    override fun handle(
        peer: PeerIdentity,
        request: LinkRequest,
    ): Flow<LinkReply> = flow { emit(replyTo(request)) }

    private suspend fun replyTo(request: LinkRequest): LinkReply =
        when (request) {
            is ReadStore -> read(request)
            is ChangeStore -> change(request)
            is TrimBudget -> settle(request)
            is ClaimTrial -> grantTrial(request)
            is FindTurn -> TurnFound(turns.find(request.turn)?.takeIf { it.size <= MAX_TURN_BYTES })
            else -> refusal("Edge gateways do not support this request type.")
        }

    private suspend fun settle(request: TrimBudget): LinkReply {
        val isSettled = budgets.settle(BudgetKey(request.program, request.account))
        return if (isSettled) Done else refusal("The claim could not be written.")
    }

    private fun grantTrial(request: ClaimTrial): LinkReply {
        if (trials.grant(RequestFingerprint(request.fingerprint))) return Done
        return refusal("Another trial of the request may be in progress.", RefusalCode.QUARANTINED)
    }

    private suspend fun read(request: ReadStore): StoreReply =
        store
            .read(request.table, request.partition)
            .map { pageOf(it, request.after) }
            .mapLeft { toWire(it) }
            .merge()

    /** Returns the rows of [snapshot] after the key [after], at least one and as many as fit into a link message. */
    private fun pageOf(
        snapshot: RowSnapshot,
        after: String?,
    ): StoreReply.Rows {
        val rows = snapshot.rows.sortedBy { it.key.key }.filter { after == null || it.key.key > after }
        var bytes = 0
        val page = rows.takeWhile { row -> (bytes < MAX_PAGE_BYTES).also { bytes += row.value?.size ?: 0 } }
        return StoreReply.Rows(toWire(page), snapshot.version, hasMore = page.size < rows.size)
    }

    private suspend fun change(request: ChangeStore): StoreReply =
        store
            .change(changeFromWire(request))
            .map { StoreReply.Rows(emptyList(), it) }
            .mapLeft(::reply)
            .merge()

    private fun reply(failure: ChangeFailure): StoreReply =
        when (failure) {
            is ChangeFailure.Conflict -> StoreReply.Conflict(toWire(failure.current))
            is ChangeFailure.Failed -> toWire(failure.cause)
        }

    private fun refusal(
        detail: String,
        code: RefusalCode = RefusalCode.BAD_REQUEST,
    ): LinkReply = CallRefused(Refusal(code, Execution.NOT_RUN, detail))

    private companion object {
        /** With one more row, a page is well below the largest frame of a link. */
        private const val MAX_PAGE_BYTES = 1024 * 1024

        /** A larger turn does not fit into a frame and has to be read from the store. */
        private const val MAX_TURN_BYTES = 4 * 1024 * 1024
    }
}
