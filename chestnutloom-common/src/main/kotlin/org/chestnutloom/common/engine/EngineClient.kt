package org.chestnutloom.common.engine

import arrow.core.Either
import org.chestnutloom.id.ProgramId

/** Asks one model engine for everything besides completions. */
public interface EngineClient {
    /** Returns the tokens that the prefix cache holds for each program. */
    public suspend fun cachedPrograms(): Either<EngineFailure, Map<ProgramId, Long>>

    /** Returns the cache events after number [after] that the engine has published so far. */
    public suspend fun cacheEvents(after: Long): Either<EngineFailure, List<CacheEvent>>

    /** Frees the cache held for [program]; doing it again is harmless. */
    public suspend fun releaseCache(program: ProgramId): Either<EngineFailure, Unit>

    /** Writes the cache of [program] to the object called [objectName], and returns its tokens. */
    public suspend fun exportCache(
        program: ProgramId,
        objectName: String,
    ): Either<EngineFailure, Long>

    /** Fills the cache of [program] from the object called [objectName], and returns its tokens. */
    public suspend fun importCache(
        program: ProgramId,
        objectName: String,
    ): Either<EngineFailure, Long>

    /** Returns the engine's newest load report. */
    public suspend fun load(): Either<EngineFailure, EngineLoad>

    /** Gives an order. */
    public suspend fun order(order: EngineOrder): Either<EngineFailure, Unit>

    /** Stops the request that was sent with `X-Request-Id` [requestId]. */
    public suspend fun cancelRequest(requestId: String): Either<EngineFailure, Unit>

    /** Tells whether the engine answers. */
    public suspend fun checkHealth(): Either<EngineFailure, Unit>
}
