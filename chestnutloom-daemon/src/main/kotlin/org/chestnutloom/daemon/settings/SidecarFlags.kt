package org.chestnutloom.daemon.settings

import org.chestnutloom.call.CallKind
import org.chestnutloom.common.flag.Flag
import org.chestnutloom.common.flag.FlagReader
import org.chestnutloom.id.ModelName
import org.chestnutloom.id.TargetId
import org.chestnutloom.queue.QueuePolicy
import org.chestnutloom.sidecar.SidecarSettings
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** The flags of `chestnutloomd sidecar`. */
internal val sidecarFlags: List<Flag> =
    commonFlags +
        listOf(
            Flag("target", "target id, the same as on the platform's VM list"),
            Flag("target-url", "address of the target"),
            Flag("target-credential", "credential sent to a target that authenticates its callers"),
            Flag("kind", "model or tool"),
            Flag("models", "models that the engine serves, separated by commas"),
            Flag("services", "services that the target runs, separated by commas"),
            Flag("max-running", "maximum number of calls that run on the target concurrently"),
            Flag("queue-policy", "order in which queued calls start: fair or fifo"),
            Flag("gateway-silence-ms", "how long after a gateway's latest freshness proof its queued calls may start"),
            Flag("answer-retention-ms", "how long an answer is kept if no gateway confirms that it is durable"),
            Flag("id-retention-ms", "how long call ids are kept for deduplication"),
            Flag("program-retention-ms", "how long the engine keeps the cache of a program without a live gateway"),
            Flag("program-idle-limit-ms", "how long the engine keeps the cache of a program that makes no calls"),
            Flag("cache-sweep-interval-ms", "how often the engine's cache listing is compared with the programs"),
            Flag("load-report-interval-ms", "minimum time between two load reports"),
        )

/** Reads the settings of a sidecar. */
internal fun FlagReader.sidecarSettings(): SidecarSettings {
    val settings =
        SidecarSettings(
            target = TargetId(identifier("target")),
            environment = identifier("environment"),
            failureDomain = identifier("failure-domain"),
            link = address("link"),
            kind = kind(),
            targetUrl = url("target-url"),
            targetCredential = optional("target-credential"),
            models = list("models").map { ModelName(it) },
            services = list("services"),
            maxRunning = int("max-running", 1..MAX_RUNNING_CALLS, default = 8),
            queuePolicy = enumConstant("queue-policy", QueuePolicy.FAIR),
            heartbeatInterval = duration("heartbeat-interval-ms", 500.milliseconds),
            linkSilenceTimeout = duration("link-silence-ms", 2.seconds),
            gatewaySilenceTimeout = duration("gateway-silence-ms", 4.seconds),
            answerRetention = duration("answer-retention-ms", 30.minutes),
            idRetention = duration("id-retention-ms", 60.minutes),
            programRetention = duration("program-retention-ms", 30.seconds),
            programIdleLimit = duration("program-idle-limit-ms", 10.minutes),
            cacheSweepInterval = duration("cache-sweep-interval-ms", 2.seconds),
            loadReportInterval = duration("load-report-interval-ms", 100.milliseconds),
            stopTimeout = duration("stop-timeout-ms", 60.seconds),
            mechanisms = mechanisms(),
        )
    checkSidecarSettings(settings)
    return settings
}

private fun FlagReader.kind(): CallKind {
    required("kind")
    return choice("kind", mapOf("model" to CallKind.MODEL, "tool" to CallKind.TOOL), CallKind.TOOL)
}

private fun FlagReader.checkSidecarSettings(settings: SidecarSettings) {
    val isModel = settings.kind == CallKind.MODEL
    if (isModel &&
        settings.models.isEmpty() &&
        optional("kind") != null
    ) {
        addError("models", "is missing for --kind model")
    }
    if (!isModel &&
        settings.services.isEmpty() &&
        optional("kind") == "tool"
    ) {
        addError("services", "is missing for --kind tool")
    }
    requireAtMostHalf(
        "heartbeat-interval-ms",
        settings.heartbeatInterval,
        "link-silence-ms",
        settings.linkSilenceTimeout,
    )
}

private const val MAX_RUNNING_CALLS = 100_000
