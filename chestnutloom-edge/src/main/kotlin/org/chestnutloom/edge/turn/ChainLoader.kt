package org.chestnutloom.edge.turn

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.chestnutloom.id.CallId

/**
 * Loads the turns of one chain with [load], so many at a time as their size allows, and has [memory] hold them.
 *
 * Reading a turn takes several times its size, so that long turns must not all be read at once.
 */
internal class ChainLoader(
    private val memory: TurnMemory,
    private val load: suspend (CallId) -> Either<TurnFailure, TurnRecord>,
) {
    private val holding = ArrayList<TurnRecord>()
    private var chainBytes = 0L
    private var largestBytes = 1

    /** Returns the chain that ends with [newest]. */
    suspend fun load(newest: TurnRecord): Either<TurnFailure, TurnChain> {
        var chain: TurnChain? = null
        try {
            return either {
                val last = hold(newest)
                val older = loadAll(newest.ancestors)
                TurnChain(older + last, memory)
            }.onRight { chain = it }
        } finally {
            if (chain == null) holding.forEach { memory.release(it) }
        }
    }

    private suspend fun Raise<TurnFailure>.loadAll(ids: List<CallId>): List<TurnRecord> {
        val loaded = ArrayList<TurnRecord>()
        while (loaded.size < ids.size) {
            val next = ids.subList(loaded.size, ids.size).take(maxOf(1, LOADING_BYTES / largestBytes))
            val results = coroutineScope { next.map { async { load(it) } }.awaitAll() }
            results.forEach { loaded += hold(it.bind()) }
        }
        return loaded
    }

    private fun Raise<TurnFailure>.hold(record: TurnRecord): TurnRecord {
        chainBytes += record.sizeBytes
        largestBytes = maxOf(largestBytes, record.sizeBytes)
        if (memory.tryHold(record, chainBytes)) return record.also(holding::add)
        raise(if (memory.canEverHold(chainBytes)) TurnFailure.NoMemory else TurnFailure.TooLarge)
    }

    private companion object {
        /** The total size of the turns that are read at the same time, as far as those read before tell. */
        private const val LOADING_BYTES = 4 * 1024 * 1024
    }
}
