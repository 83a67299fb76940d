package org.chestnutloom.sidecar

import arrow.core.Either
import arrow.core.right
import org.chestnutloom.common.engine.CacheEvent
import org.chestnutloom.common.engine.EngineClient
import org.chestnutloom.common.engine.EngineFailure
import org.chestnutloom.common.engine.EngineLoad
import org.chestnutloom.common.engine.EngineOrder
import org.chestnutloom.id.ProgramId

/** An engine with an in-memory cache that accepts every order. */
internal class FakeEngine : EngineClient {
    val cache = mutableMapOf<ProgramId, Long>()
    val orders = mutableListOf<EngineOrder>()

    override suspend fun cachedPrograms(): Either<EngineFailure, Map<ProgramId, Long>> = cache.toMap().right()

    override suspend fun cacheEvents(after: Long): Either<EngineFailure, List<CacheEvent>> =
        emptyList<CacheEvent>().right()

    override suspend fun releaseCache(program: ProgramId): Either<EngineFailure, Unit> {
        cache.remove(program)
        return Unit.right()
    }

    override suspend fun exportCache(
        program: ProgramId,
        objectName: String,
    ): Either<EngineFailure, Long> = 0L.right()

    override suspend fun importCache(
        program: ProgramId,
        objectName: String,
    ): Either<EngineFailure, Long> = 0L.right()

    override suspend fun load(): Either<EngineFailure, EngineLoad> = EngineLoad(0, 0, 0, 0).right()

    override suspend fun order(order: EngineOrder): Either<EngineFailure, Unit> {
        orders.add(order)
        return Unit.right()
    }

    override suspend fun cancelRequest(requestId: String): Either<EngineFailure, Unit> = Unit.right()

    override suspend fun checkHealth(): Either<EngineFailure, Unit> = Unit.right()
}
