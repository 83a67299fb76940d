package org.chestnutloom.edge.budget

import arrow.core.Either
import arrow.core.left
import kotlinx.coroutines.CompletableDeferred
import org.chestnutloom.edge.store.ChangeFailure
import org.chestnutloom.edge.store.InMemoryRowStore
import org.chestnutloom.edge.store.RowChange
import org.chestnutloom.edge.store.RowStore
import org.chestnutloom.store.StoreFailure

/** The store of a [BudgetModel], which can hold changes back. */
internal class ModelStore(
    private val store: InMemoryRowStore,
) : RowStore by store {
    var mode = StoreMode.SOUND
    private val held = ArrayList<suspend () -> Unit>()

    override suspend fun change(change: RowChange): Either<ChangeFailure, Long> {
        store.isUnavailable = mode == StoreMode.UNAVAILABLE
        store.losesNextResponse = mode == StoreMode.LOSING_RESPONSES
        return when (mode) {
            StoreMode.LATE -> ChangeFailure.Failed(NO_RESPONSE).left().also { held += { store.change(change) } }
            StoreMode.SLOW -> answerLater(change)
            else -> store.change(change)
        }
    }

    private suspend fun answerLater(change: RowChange): Either<ChangeFailure, Long> {
        val answer = CompletableDeferred<Either<ChangeFailure, Long>>()
        held += { answer.complete(store.change(change)) }
        return answer.await()
    }

    suspend fun applyHeld() {
        store.isUnavailable = false
        store.losesNextResponse = false
        val changes = held.toList()
        held.clear()
        changes.forEach { it() }
    }

    private companion object {
        private val NO_RESPONSE = StoreFailure.OutcomeUnknown("no response")
    }
}
