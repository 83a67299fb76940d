package org.chestnutloom.common.engine

import arrow.core.Either
import org.chestnutloom.id.ProgramId

/** Client for the management API of one model engine, which covers everything except completions. */
public interface EngineClient {
    /** Returns the number of tokens that the prefix cache holds for each program. */
    public suspend fun cachedPrograms(): Either<EngineFailure, Map<ProgramId, Long>>

    /** Returns the published cache events with a sequence number above [after]. */
    public suspend fun cacheEvents(after: Long): Either<EngineFailure, List<CacheEvent>>

    /** Frees the cache held for [program]; idempotent. */
    public suspend fun releaseCache(program: ProgramId): Either<EngineFailure, Unit>

    /** Writes the cache of [program] to the object named [objectName], and returns the number of tokens written. */
    public suspend fun exportCache(
        program: ProgramId,
        objectName: String,
    ): Either<EngineFailure, Long>

    /** Loads the cache of [program] from the object named [objectName], and returns the number of tokens loaded. */
    public suspend fun importCache(
        program: ProgramId,
        objectName: String,
    ): Either<EngineFailure, Long>

    /** Returns the engine's latest load report. */
    public suspend fun load(): Either<EngineFailure, EngineLoad>

    /** Sends [order] to the engine, which may reject a stale fencing token. */
    public suspend fun order(order: EngineOrder): Either<EngineFailure, Unit>

    /** Cancels the request whose `X-Request-Id` header was [requestId]. */
    public suspend fun cancelRequest(requestId: String): Either<EngineFailure, Unit>

    /** Returns success if the health check of the engine passes. */
    public suspend fun checkHealth(): Either<EngineFailure, Unit>
}
