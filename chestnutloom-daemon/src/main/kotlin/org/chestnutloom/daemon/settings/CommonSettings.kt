package org.chestnutloom.daemon.settings

import org.chestnutloom.wire.link.PeerAddress

/**
 * Settings that both kinds of process have.
 *
 * @property admin where health checks and metrics are served; port 0 picks a free one
 * @property otlpEndpoint where spans are sent by OTLP over HTTP, or null to log them
 * @property traceRatio the share of traces that are kept
 */
internal data class CommonSettings(
    val admin: PeerAddress,
    val otlpEndpoint: String?,
    val traceRatio: Double,
)
