package org.chestnutloom.gateway.call

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.gateway.control.TargetDirectory
import org.chestnutloom.id.TargetId
import org.chestnutloom.store.VmEntry
import org.chestnutloom.time.Clock
import org.chestnutloom.wire.link.LinkException
import org.chestnutloom.wire.link.LinkFailure
import org.chestnutloom.wire.link.PeerLink
import org.chestnutloom.wire.message.LinkReply
import org.chestnutloom.wire.message.LoadReport
import org.chestnutloom.wire.message.WatchLoad
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Maintains one link to the sidecar of each listed target and subscribes to its load reports. */
internal class SidecarPool(
    private val directory: TargetDirectory,
    private val linkFactory: (VmEntry) -> PeerLink,
    private val crashTracker: CrashTracker,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val refreshInterval: Duration = REFRESH_INTERVAL,
) {
    private val members = ConcurrentHashMap<TargetId, Member>()

    /** Called for each sidecar whenever a connection to it is established. */
    @Volatile
    var onConnected: suspend (Sidecar) -> Unit = {}

    /** Starts refreshing the links periodically. */
    fun start() {
        scope.launch {
            while (isActive) {
                refresh()
                delay(refreshInterval)
            }
        }
    }

    /** Returns the sidecar of the target [id], or null if that target is not listed. */
    fun find(id: TargetId): Sidecar? = members[id]?.sidecar

    /** Returns the sidecars of all listed targets. */
    fun all(): List<Sidecar> = members.values.map { it.sidecar }

    /** Opens and closes links to match the current list of targets. */
    suspend fun refresh() {
        val listed = directory.targets().associateBy { TargetId(it.id) }
        members.keys.filter { it !in listed }.forEach { remove(it) }
        listed.forEach { (id, entry) -> update(id, entry) }
    }

    private suspend fun update(
        id: TargetId,
        entry: VmEntry,
    ) {
        val known = members[id]?.sidecar
        if (known != null && known.entry.host == entry.host && known.entry.port == entry.port) {
            known.entry = entry
            return
        }
        remove(id)
        val sidecar = Sidecar(entry, linkFactory(entry))
        members[id] = Member(sidecar, scope.launch { watch(sidecar) })
    }

    private suspend fun remove(id: TargetId) {
        val member = members.remove(id) ?: return
        member.watch.cancel()
        member.sidecar.link.close()
    }

    private suspend fun watch(sidecar: Sidecar) {
        var backoff = MIN_BACKOFF
        while (true) {
            val before = sidecar.load().reportedAt
            val failure = watchOnce(sidecar)
            sidecar.markUnwatched()
            crashTracker.recordLinkLoss(sidecar.id, failure)
            backoff = if (sidecar.load().reportedAt > before) MIN_BACKOFF else (backoff * 2).coerceAtMost(MAX_BACKOFF)
            delay(backoff)
        }
    }

    private suspend fun watchOnce(sidecar: Sidecar): LinkFailure? =
        try {
            collectReports(sidecar, sidecar.link.request(WatchLoad))
            null
        } catch (exception: LinkException) {
            exception.failure
        } catch (exception: Exception) {
            currentCoroutineContext().ensureActive()
            logger.warnEvent("sidecar_watch_failed", "target" to sidecar.id, "cause" to exception::class.simpleName)
            null
        }

    private suspend fun collectReports(
        sidecar: Sidecar,
        reports: Flow<LinkReply>,
    ) {
        var isFirst = true
        reports.collect { reply ->
            if (reply !is LoadReport) return@collect
            sidecar.recordReport(reply, clock.elapsed())
            sidecar.incarnation?.let { crashTracker.recordReport(sidecar.id, it, reply) }
            if (isFirst) scope.launch { onConnected(sidecar) }
            isFirst = false
        }
    }

    private class Member(
        val sidecar: Sidecar,
        val watch: Job,
    )

    private companion object {
        val REFRESH_INTERVAL = 250.milliseconds
        val MIN_BACKOFF = 50.milliseconds
        val MAX_BACKOFF = 1000.milliseconds
    }
}
