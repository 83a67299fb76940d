package org.chestnutloom.fakes.engine

import org.chestnutloom.fakes.fault.Crash
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Settings of a stand-in for a model engine.
 *
 * @property seed decides which cache events are lost
 * @property models the models that are loaded at the start; empty serves any model
 * @property prefillTokensPerSecond prompt tokens that the whole batch prefills in a second
 * @property decodeStep the time in which each running request generates one token
 * @property maxBatch how many requests run at once; the others wait in the order they came
 * @property cacheTokens the size of the prefix cache
 * @property tokensPerChunk how many tokens one streamed chunk carries
 * @property eventDelay how late cache events are published
 * @property eventLossRatio the share of cache events that are never published
 * @property loadLag the least age of a load report
 * @property verifiesOrders whether orders with an old fencing number are refused
 * @property objectUrl the object store for export and import, or null
 * @property logFile where the request log is appended, or null
 * @property bodyLimit how many characters of each body the log keeps
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
    public val bodyLimit: Int = Int.MAX_VALUE,
    public val crash: Crash = Crash.HALT_PROCESS,
)
