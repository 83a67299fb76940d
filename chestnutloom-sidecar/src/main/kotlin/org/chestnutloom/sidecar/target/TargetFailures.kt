package org.chestnutloom.sidecar.target

import io.ktor.client.engine.cio.FailToConnectException
import io.ktor.client.network.sockets.ConnectTimeoutException
import java.net.ConnectException
import java.net.NoRouteToHostException
import java.nio.channels.UnresolvedAddressException

/** Returns the failure that [cause] stands for; anything that is not known to precede the sending counts as lost. */
internal fun failureOf(cause: Throwable): TargetEvent.Failed =
    when {
        isConnectFailure(cause) -> TargetEvent.Failed(TargetFailure.NotSent(detailOf(cause)))
        isUnsendable(cause) -> TargetEvent.Failed(TargetFailure.Unsendable(detailOf(cause)))
        else -> lost(detailOf(cause))
    }

internal fun lost(detail: String): TargetEvent.Failed = TargetEvent.Failed(TargetFailure.Lost(detail))

/** Tells whether [cause] shows that no connection came about. */
internal fun isConnectFailure(cause: Throwable): Boolean =
    causes(cause).any {
        it is ConnectException ||
            it is ConnectTimeoutException ||
            it is FailToConnectException ||
            it is NoRouteToHostException ||
            it is UnresolvedAddressException
    }

private fun isUnsendable(cause: Throwable): Boolean = causes(cause).any { it is UnsendableException }

private fun causes(cause: Throwable): Sequence<Throwable> = generateSequence(cause) { it.cause }.take(MAX_CAUSES)

private fun detailOf(cause: Throwable): String = cause.message ?: cause.javaClass.simpleName

private const val MAX_CAUSES = 8
