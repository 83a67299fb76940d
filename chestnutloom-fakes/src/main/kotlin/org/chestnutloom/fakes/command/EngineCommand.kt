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

/** Returns the command that runs a model engine. */
@OptIn(ExperimentalCli::class)
internal fun engineCommand(): Subcommand = EngineCommand()

@OptIn(ExperimentalCli::class)
private class EngineCommand : StandInCommand("engine", "Runs a model engine") {
    private val defaults = EngineSettings()
    private val seed by option(ArgType.Int, "seed", description = "Seed of the lost cache events").default(1)
    private val models by option(
        ArgType.String,
        "models",
        description = "Loaded models, joined by commas; none serves any",
    )
    private val prefillTokensPerSecond by
        option(ArgType.Double, "prefill-tokens-per-second", description = "Prompt tokens prefilled in a second")
            .default(defaults.prefillTokensPerSecond)
    private val decodeMsPerStep by
        option(ArgType.Int, "decode-ms-per-step", description = "Milliseconds for one token of each running request")
            .default(defaults.decodeStep.inWholeMilliseconds.toInt())
    private val maxBatch by
        option(ArgType.Int, "max-batch", description = "Requests that run at once").default(defaults.maxBatch)
    private val cacheTokens by
        option(
            ArgType.Int,
            "cache-tokens",
            description = "Size of the prefix cache",
        ).default(defaults.cacheTokens.toInt())
    private val tokensPerChunk by
        option(
            ArgType.Int,
            "tokens-per-chunk",
            description = "Tokens in one streamed chunk",
        ).default(defaults.tokensPerChunk)
    private val eventDelayMs by
        option(ArgType.Int, "event-delay-ms", description = "Delay of cache events in milliseconds")
            .default(defaults.eventDelay.inWholeMilliseconds.toInt())
    private val eventLossRatio by
        option(
            ArgType.Double,
            "event-loss-ratio",
            description = "Share of cache events lost",
        ).default(defaults.eventLossRatio)
    private val loadLagMs by
        option(ArgType.Int, "load-lag-ms", description = "Age of load reports in milliseconds")
            .default(defaults.loadLag.inWholeMilliseconds.toInt())
    private val verifiesOrders by
        option(
            ArgType.String,
            "verifies-orders",
            description = "Whether old orders are refused: true or false",
        ).default("true")
    private val objectUrl by option(ArgType.String, "object-url", description = "Object store for export and import")
    private val logFile by option(ArgType.String, "log-file", description = "File to append the request log to")
    private val bodyLimit by
        option(
            ArgType.Int,
            "log-body-characters",
            description = "Characters of each body to log",
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
            bodyLimit = bodyLimit,
        )
}
