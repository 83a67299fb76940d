package org.chestnutloom.sidecar

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.job
import org.chestnutloom.common.log.event
import org.chestnutloom.common.node.Node
import org.chestnutloom.common.node.NodeEndpoints
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.sidecar.target.Target
import org.chestnutloom.time.Clock
import org.chestnutloom.wire.link.HeartbeatSource
import org.chestnutloom.wire.link.LinkOptions
import org.chestnutloom.wire.link.PeerIdentity
import org.chestnutloom.wire.link.linkServer
import kotlin.time.Duration.Companion.seconds

/** Serves a [SidecarCore] on a link server. */
internal class SidecarNode(
    private val settings: SidecarSettings,
    identity: PeerIdentity,
    private val core: SidecarCore,
    private val target: Target,
    heartbeats: HeartbeatSource,
    clock: Clock,
    private val scope: CoroutineScope,
) : Node {
    private val logger = KotlinLogging.logger {}
    private val links =
        linkServer(settings.link, identity, core.handler, heartbeats, linkOptions(settings), clock, scope)
    private val housekeeping = Housekeeping(core, settings.cacheSweepInterval)

    @Volatile
    override var isReady: Boolean = false
        private set

    @Volatile
    override var endpoints: NodeEndpoints = NodeEndpoints(httpPort = null, linkPort = 0)
        private set

    override suspend fun start() {
        housekeeping.start(scope)
        endpoints = NodeEndpoints(httpPort = null, linkPort = links.start())
        isReady = true
    }

    override suspend fun stopGracefully() {
        isReady = false
        if (settings.mechanisms.has(Mechanism.GRACEFUL_STOP)) {
            logger.event("sidecar_draining", "target" to settings.target)
            val drained = core.drain(settings.stopTimeout)
            logger.event("sidecar_drained", "target" to settings.target, "in_time" to drained)
            links.drain(REPLY_TIMEOUT)
        }
        links.stop()
        target.close()
        scope.cancel()
    }

    companion object {
        /** The drain ends when the last call is confirmed, before the reply to that confirmation has been sent. */
        private val REPLY_TIMEOUT = 1.seconds

        /** Returns a child scope of [outer] whose failures do not propagate to it. */
        fun childScope(outer: CoroutineScope): CoroutineScope =
            CoroutineScope(outer.coroutineContext + SupervisorJob(outer.coroutineContext.job))

        private fun linkOptions(settings: SidecarSettings): LinkOptions =
            LinkOptions(
                heartbeatInterval = settings.heartbeatInterval,
                silenceTimeout = settings.linkSilenceTimeout,
                mechanisms = settings.mechanisms,
            )
    }
}
