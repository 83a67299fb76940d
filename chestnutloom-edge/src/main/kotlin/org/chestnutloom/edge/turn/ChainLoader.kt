package org.chestnutloom.edge.turn

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.chestnutloom.id.CallId

/**
 * Loads the turns of one chain, and has [memory] hold each of them as soon as it is there.
 *
 * @property load loads a turn whose size is about the given number of bytes, or not known
 */
internal class ChainLoader(
    private val memory: TurnMemory,
    private val load: suspend (CallId, Int?) -> Either<TurnFailure, TurnRecord>,
) {
    private val holding = ArrayList<TurnRecord>()
    private var chainBytes = 0L

    /** Returns the chain that ends with [newest]. */
    suspend fun load(newest: TurnRecord): Either<TurnFailure, TurnChain> {
        var chain: TurnChain? = null
        try {
            return either {
                hold(newest).bind()
                val older = loadAncestors(newest).map { it.bind() }
                TurnChain(older + newest, memory)
            }.onRight { chain = it }
        } finally {
            if (chain == null) holding.forEach(memory::release)
        }
    }

    private suspend fun loadAncestors(newest: TurnRecord): List<Either<TurnFailure, TurnRecord>> =
        coroutineScope {
            newest.ancestors
                .mapIndexed { index, id ->
                    async { load(id, newest.ancestorBytes?.getOrNull(index)).flatMap(::hold) }
                }.awaitAll()
        }

    private fun hold(record: TurnRecord): Either<TurnFailure, TurnRecord> {
        chainBytes += record.sizeBytes
        if (memory.tryHold(record, chainBytes)) {
            holding += record
            return record.right()
        }
        return (if (memory.canEverHold(chainBytes)) TurnFailure.NoMemory else TurnFailure.TooLarge).left()
    }
}
