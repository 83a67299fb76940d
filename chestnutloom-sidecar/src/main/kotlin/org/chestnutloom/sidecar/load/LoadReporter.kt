package org.chestnutloom.sidecar.load

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import org.chestnutloom.wire.link.PeerIdentity
import org.chestnutloom.wire.message.LoadReport
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Sends load reports to the gateways that watch, after changes and at most one each interval. */
internal class LoadReporter(
    private val interval: Duration,
    private val report: () -> LoadReport,
) {
    private val version = MutableStateFlow(0L)
    private val watchers = CopyOnWriteArrayList<LoadWatcher>()

    /** Takes note that the next report would differ. */
    fun onChange() {
        version.update { it + 1 }
    }

    /**
     * Sends a report at once to one watcher, preferably [sender], and waits until it has left.
     *
     * It lets a gateway know what is in flight should the target's VM fail. The wait is bounded, because a call must not
     * depend on a watcher.
     */
    suspend fun announce(sender: PeerIdentity) {
        val watcher = watchers.firstOrNull { it.peer == sender } ?: watchers.firstOrNull() ?: return
        val sent = CompletableDeferred<Unit>()
        watcher.urgent.send(sent)
        withTimeoutOrNull(ANNOUNCE_TIMEOUT) { sent.await() }
    }

    /** Sends a report at once to every watcher, and waits until they have left, within the same bound. */
    suspend fun announceToAll() {
        val sent = watchers.map { watcher -> CompletableDeferred<Unit>().also { watcher.urgent.send(it) } }
        withTimeoutOrNull(ANNOUNCE_TIMEOUT) { sent.awaitAll() }
    }

    /** Returns the reports for [peer], from now until the collection is cancelled. */
    fun watch(peer: PeerIdentity): Flow<LoadReport> =
        flow {
            val watcher = LoadWatcher(peer)
            watchers.add(watcher)
            try {
                sendReports(watcher)
            } finally {
                watchers.remove(watcher)
            }
        }

    private suspend fun FlowCollector<LoadReport>.sendReports(watcher: LoadWatcher) {
        var request: CompletableDeferred<Unit>? = null
        while (true) {
            val sentVersion = version.value
            emit(report())
            request?.complete(Unit)
            request = nextRequest(watcher, sentVersion)
        }
    }

    /** Waits for an urgent request, or for a change once the interval is over, and returns the request if it is one. */
    private suspend fun nextRequest(
        watcher: LoadWatcher,
        sentVersion: Long,
    ): CompletableDeferred<Unit>? =
        coroutineScope {
            val change = async { awaitChange(sentVersion) }
            val request =
                select {
                    watcher.urgent.onReceive { it }
                    change.onAwait { null }
                }
            change.cancel()
            request
        }

    private suspend fun awaitChange(sentVersion: Long) {
        delay(interval)
        version.first { it != sentVersion }
    }

    private companion object {
        val ANNOUNCE_TIMEOUT = 50.milliseconds
    }
}
