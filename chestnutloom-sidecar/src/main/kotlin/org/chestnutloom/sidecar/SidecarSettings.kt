package org.chestnutloom.sidecar

import org.chestnutloom.call.CallKind
import org.chestnutloom.id.ModelName
import org.chestnutloom.id.TargetId
import org.chestnutloom.mechanism.Mechanisms
import org.chestnutloom.queue.QueuePolicy
import org.chestnutloom.wire.link.PeerAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of one sidecar process.
 *
 * @property target id of the target that the sidecar serves
 * @property targetUrl base URL of the target
 * @property targetCredential bearer token for requests to the target, or null to send none
 * @property models the models that the engine serves; empty for plain services
 * @property services the plain services that the target runs; empty for engines
 * @property maxRunning maximum number of calls that run on the target concurrently
 * @property queuePolicy the order in which queued calls start
 * @property gatewaySilenceTimeout maximum age of a gateway's freshness proof at which its queued calls may start
 * @property answerRetention how long the answer of an ended call is kept if no gateway confirms that it is durable
 * @property idRetention how long call ids are kept for deduplication
 * @property programRetention how long the engine keeps cache for a program without a live gateway
 * @property programIdleLimit how long the engine keeps cache for a program without calls
 */
public data class SidecarSettings(
    public val target: TargetId,
    public val environment: String,
    public val failureDomain: String,
    public val link: PeerAddress,
    public val kind: CallKind,
    public val targetUrl: String,
    public val targetCredential: String?,
    public val models: List<ModelName>,
    public val services: List<String>,
    public val maxRunning: Int,
    public val queuePolicy: QueuePolicy = QueuePolicy.FAIR,
    public val heartbeatInterval: Duration = 500.milliseconds,
    public val linkSilenceTimeout: Duration = 2.seconds,
    public val gatewaySilenceTimeout: Duration = 4.seconds,
    public val answerRetention: Duration = 30.minutes,
    public val idRetention: Duration = 60.minutes,
    public val programRetention: Duration = 30.seconds,
    public val programIdleLimit: Duration = 10.minutes,
    public val cacheSweepInterval: Duration = 2.seconds,
    public val loadReportInterval: Duration = 100.milliseconds,
    public val stopTimeout: Duration = 60.seconds,
    public val mechanisms: Mechanisms = Mechanisms.ALL,
) {
    override fun toString(): String = "SidecarSettings(target=$target, targetUrl=$targetUrl)"
}
