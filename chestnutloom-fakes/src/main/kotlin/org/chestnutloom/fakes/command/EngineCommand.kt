package org.chestnutloom.fakes.command

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import org.chestnutloom.fakes.StandIn
import org.chestnutloom.fakes.engine.EngineSettings
import org.chestnutloom.fakes.engine.engineStandIn
import java.nio.file.Path
import kotlin.time.Duration.Companion.milliseconds

/** Returns the command that runs a stand-in for a model engine. */
@OptIn(ExperimentalCli::class)
internal fun engineCommand(): Subcommand = EngineCommand()

@OptIn(ExperimentalCli::class)
private class EngineCommand : StandInCommand("engine", "Runs a stand-in for a model engine") {
    private val defaults = EngineSettings()
    private val seed by
        option(ArgType.Int, "seed", description = "Seed for the choice of cache events to drop").default(1)
    private val models by option(
        ArgType.String,
        "models",
        description = "Loaded models, separated by commas; if not given, any model is served",
    )
    private val prefillTokensPerSecond by
        option(ArgType.Double, "prefill-tokens-per-second", description = "Prompt tokens prefilled per second")
            .default(defaults.prefillTokensPerSecond)
    private val decodeMsPerStep by
        option(
            ArgType.Int,
            "decode-ms-per-step",
            description = "Milliseconds per decode step, which generates one token for each running request",
        ).default(defaults.decodeStep.inWholeMilliseconds.toInt())
    private val maxBatch by
        option(
            ArgType.Int,
            "max-batch",
            description = "Maximum number of requests in a batch",
        ).default(defaults.maxBatch)
    private val cacheTokens by
        option(
            ArgType.Int,
            "cache-tokens",
            description = "Size of the prefix cache in tokens",
        ).default(defaults.cacheTokens.toInt())
    private val tokensPerChunk by
        option(
            ArgType.Int,
            "tokens-per-chunk",
            description = "Tokens per streamed chunk",
        ).default(defaults.tokensPerChunk)
    private val eventDelayMs by
        option(ArgType.Int, "event-delay-ms", description = "Delay of cache events in milliseconds")
            .default(defaults.eventDelay.inWholeMilliseconds.toInt())
    private val eventLossRatio by
        option(
            ArgType.Double,
            "event-loss-ratio",
            description = "Fraction of cache events to drop",
        ).default(defaults.eventLossRatio)
    private val loadLagMs by
        option(ArgType.Int, "load-lag-ms", description = "Staleness of load reports in milliseconds")
            .default(defaults.loadLag.inWholeMilliseconds.toInt())
    private val verifiesOrders by
        option(
            ArgType.String,
            "verifies-orders",
            description = "Whether orders with a stale fencing token are refused: true or false",
        ).default("true")
    private val objectUrl by
        option(ArgType.String, "object-url", description = "URL of the object store for cache export and import")
    private val logFile by option(ArgType.String, "log-file", description = "File that the request log is appended to")
    private val maxBodyCharacters by
        option(
            ArgType.Int,
            "log-body-characters",
            description = "Maximum number of characters to log of each body",
        ).default(Int.MAX_VALUE)

    override fun standIn(): StandIn = engineStandIn(settings())

    private fun settings() =
        EngineSettings(
            port = port,
            seed = seed.toLong(),
            models = models?.split(',').orEmpty().toSet(),
            prefillTokensPerSecond = prefillTokensPerSecond,
            decodeStep = decodeMsPerStep.milliseconds,
            maxBatch = maxBatch,
            cacheTokens = cacheTokens.toLong(),
            tokensPerChunk = tokensPerChunk,
            eventDelay = eventDelayMs.milliseconds,
            eventLossRatio = eventLossRatio,
            loadLag = loadLagMs.milliseconds,
            verifiesOrders = verifiesOrders.toBooleanStrict(),
            objectUrl = objectUrl,
            logFile = logFile?.let(Path::of),
            maxBodyCharacters = maxBodyCharacters,
        )
}
