package org.chestnutloom.sidecar.target

import io.ktor.client.engine.cio.FailToConnectException
import io.ktor.client.network.sockets.ConnectTimeoutException
import java.net.ConnectException
import java.net.NoRouteToHostException
import java.nio.channels.UnresolvedAddressException

/** Maps [cause] to a failure; it counts as a lost connection unless it is known that nothing was sent. */
internal fun failureOf(cause: Throwable): TargetEvent.Failed =
    when {
        isConnectFailure(cause) -> TargetEvent.Failed(TargetFailure.NotSent(detailOf(cause)))
        isInvalidRequest(cause) -> TargetEvent.Failed(TargetFailure.InvalidRequest(detailOf(cause)))
        else -> lost(detailOf(cause))
    }

internal fun lost(detail: String): TargetEvent.Failed = TargetEvent.Failed(TargetFailure.Lost(detail))

/** Returns whether [cause] shows that no connection was established. */
internal fun isConnectFailure(cause: Throwable): Boolean =
    causes(cause).any {
        it is ConnectException ||
            it is ConnectTimeoutException ||
            it is FailToConnectException ||
            it is NoRouteToHostException ||
            it is UnresolvedAddressException
    }

private fun isInvalidRequest(cause: Throwable): Boolean = causes(cause).any { it is InvalidRequestException }

private fun causes(cause: Throwable): Sequence<Throwable> = generateSequence(cause) { it.cause }.take(MAX_CAUSES)

private fun detailOf(cause: Throwable): String = cause.message ?: cause.javaClass.simpleName

private const val MAX_CAUSES = 8
