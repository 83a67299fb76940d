package org.chestnutloom.fakes.engine

import org.chestnutloom.fakes.fault.Crash
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Settings of the stand-in for a model engine.
 *
 * @property seed the seed that determines which cache events are lost
 * @property models the models that are loaded at startup; if empty, the engine serves any model
 * @property prefillTokensPerSecond the prefill throughput of the whole batch, in prompt tokens per second
 * @property decodeStep the time that each running request takes to generate one token
 * @property maxBatch the maximum number of running requests; others wait in order of arrival
 * @property cacheTokens the capacity of the prefix cache, in tokens
 * @property tokensPerChunk the number of tokens in each chunk of a stream
 * @property eventDelay the delay after which cache events are published
 * @property eventLossRatio the share of cache events that are never published
 * @property loadLag the minimum age of a load report
 * @property verifiesOrders whether orders with a stale fencing token are refused
 * @property objectUrl the URL of the object store for cache export and import, or null for none
 * @property logFile the file that the request log is appended to, or null for none
 * @property maxBodyCharacters the maximum number of characters of each request body in the log
 * @property crash the action for a request that crashes the engine
 */
public data class EngineSettings(
    public val port: Int = 0,
    public val seed: Long = 1,
    public val models: Set<String> = emptySet(),
    public val prefillTokensPerSecond: Double = 8_000.0,
    public val decodeStep: Duration = 10.milliseconds,
    public val maxBatch: Int = 8,
    public val cacheTokens: Long = 100_000,
    public val tokensPerChunk: Int = 1,
    public val eventDelay: Duration = 300.milliseconds,
    public val eventLossRatio: Double = 0.1,
    public val loadLag: Duration = 200.milliseconds,
    public val verifiesOrders: Boolean = true,
    public val objectUrl: String? = null,
    public val logFile: Path? = null,
    public val maxBodyCharacters: Int = Int.MAX_VALUE,
    public val crash: Crash = Crash.HALT_PROCESS,
)
