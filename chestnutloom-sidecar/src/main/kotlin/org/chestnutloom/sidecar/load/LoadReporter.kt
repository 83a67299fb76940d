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

/** Sends load reports to subscribed gateways after changes, at most once per [interval]. */
internal class LoadReporter(
    private val interval: Duration,
    private val report: () -> LoadReport,
) {
    private val version = MutableStateFlow(0L)
    private val watchers = CopyOnWriteArrayList<LoadWatcher>()

    /** Marks the load as changed, so that a new report is sent. */
    fun onChange() {
        version.update { it + 1 }
    }

    /**
     * Sends a report immediately to one watcher, preferably [sender], and waits until it has been sent.
     *
     * This way a gateway knows which calls were in flight if the target's VM fails. The wait is bounded, because a call
     * must not depend on a watcher.
     */
    suspend fun sendNow(sender: PeerIdentity) {
        val watcher = watchers.firstOrNull { it.peer == sender } ?: watchers.firstOrNull() ?: return
        val sent = CompletableDeferred<Unit>()
        watcher.urgentRequests.send(sent)
        withTimeoutOrNull(SEND_TIMEOUT) { sent.await() }
    }

    /** Sends a report immediately to all watchers, and waits up to [SEND_TIMEOUT] until the reports have been sent. */
    suspend fun sendNowToAll() {
        val sent = watchers.map { watcher -> CompletableDeferred<Unit>().also { watcher.urgentRequests.send(it) } }
        withTimeoutOrNull(SEND_TIMEOUT) { sent.awaitAll() }
    }

    /** Returns a flow of load reports for [peer] that ends only when its collection is cancelled. */
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

    /** Returns the next urgent request, or null if the load has changed and [interval] has passed. */
    private suspend fun nextRequest(
        watcher: LoadWatcher,
        sentVersion: Long,
    ): CompletableDeferred<Unit>? =
        coroutineScope {
            val change = async { awaitChange(sentVersion) }
            val request =
                select {
                    watcher.urgentRequests.onReceive { it }
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
        val SEND_TIMEOUT = 50.milliseconds
    }
}
