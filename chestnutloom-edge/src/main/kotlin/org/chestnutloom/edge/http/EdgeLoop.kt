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
 * The single-threaded event loop that handles all I/O and request state.
 *
 * Code in [scope] needs no locks because it is confined to this thread.
 */
public class EdgeLoop {
    /** The single-threaded group shared by HTTP servers and clients. */
    public val group: EventLoopGroup = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())

    private val uncaughtExceptions =
        CoroutineExceptionHandler { _, e ->
            logger.warnEvent(
                "defect",
                "cause" to e.javaClass.simpleName,
                "detail" to e.stackTraceToString().take(MAX_DETAIL_CHARS),
            )
        }

    /** The scope of coroutines confined to the event loop. */
    public val scope: CoroutineScope =
        CoroutineScope(SupervisorJob() + group.next().asCoroutineDispatcher() + uncaughtExceptions)

    /** Cancels all coroutines and shuts the event loop down. */
    public fun close() {
        scope.cancel()
        group.shutdownGracefully()
    }

    private companion object {
        private const val MAX_DETAIL_CHARS = 1_500
    }
}
