package org.chestnutloom.config

import com.typesafe.config.ConfigFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private const val MAX_DURATION_MS = 7L * 24 * 60 * 60 * 1000
private const val DEFAULT_MAX_BODY_BYTES = 4L * 1024 * 1024
private const val MAX_BODY_BYTES_LIMIT = 6L * 1024 * 1024
private const val DEFAULT_RETRY_RATIO = 0.1

/** Reads the section `limits`, in which every setting has a default. */
internal fun readLimits(root: SectionReader): LimitSettings {
    val section = root.optionalSection("limits", ConfigFactory.empty().root())
    val limits =
        LimitSettings(
            maxBodyBytes = section.integer("max_body_bytes", 1..MAX_BODY_BYTES_LIMIT, DEFAULT_MAX_BODY_BYTES),
            queueTimeout = section.duration("queue_timeout_ms", 10.seconds),
            modelRunTimeout = section.duration("model_run_timeout_ms", 5.minutes),
            toolRunTimeout = section.duration("tool_run_timeout_ms", 30.seconds),
            earlyTurnWait = section.duration("early_turn_wait_ms", 2.seconds),
            abandonAfter = section.duration("abandon_after_ms", 30.minutes),
            retryRatio = section.double("retry_ratio", DEFAULT_RETRY_RATIO, { it in 0.0..1.0 }, "must be from 0 to 1"),
        )
    section.checkUnknownKeys()
    return limits
}

private fun SectionReader.duration(
    key: String,
    default: Duration,
): Duration = integer(key, 0..MAX_DURATION_MS, default.inWholeMilliseconds).milliseconds
