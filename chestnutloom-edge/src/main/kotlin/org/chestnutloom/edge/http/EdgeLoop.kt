package org.chestnutloom.edge.http

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import org.chestnutloom.common.log.warnEvent

private val logger = KotlinLogging.logger {}

/**
 * The one thread on which sockets are served and every decision is taken.
 *
 * What runs in [scope] needs no locks, since nothing else runs at the same time.
 */
public class EdgeLoop {
    /** The group with the one event loop, for servers and clients of HTTP. */
    public val group: EventLoopGroup = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())

    private val defects =
        CoroutineExceptionHandler { _, e ->
            logger.warnEvent(
                "defect",
                "cause" to e.javaClass.simpleName,
                "detail" to e.stackTraceToString().take(DETAIL_CHARS),
            )
        }

    /** Where coroutines of the event loop run. */
    public val scope: CoroutineScope =
        CoroutineScope(SupervisorJob() + group.next().asCoroutineDispatcher() + defects)

    /** Ends all work at once. */
    public fun close() {
        scope.cancel()
        group.shutdownGracefully()
    }

    private companion object {
        private const val DETAIL_CHARS = 1_500
    }
}
