package org.chestnutloom.daemon.settings

import org.chestnutloom.wire.link.PeerAddress

/**
 * Settings that all roles have in common.
 *
 * @property admin the address for health checks and metrics; port 0 selects a free port
 * @property otlpEndpoint the OTLP/HTTP endpoint for spans, or null to log them
 * @property traceRatio the ratio of traces that are sampled
 */
internal data class CommonSettings(
    val admin: PeerAddress,
    val otlpEndpoint: String?,
    val traceRatio: Double,
)
