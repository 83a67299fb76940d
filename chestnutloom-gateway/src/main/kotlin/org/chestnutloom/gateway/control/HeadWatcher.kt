package org.chestnutloom.gateway.control

import arrow.core.Either
import arrow.core.raise.either
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.config.ConfigHead
import org.chestnutloom.gateway.GatewaySettings
import org.chestnutloom.lease.GatewayLease
import org.chestnutloom.store.StoreFailure
import org.chestnutloom.store.TableStore
import org.chestnutloom.store.decodeOrNull
import org.chestnutloom.time.Clock
import org.chestnutloom.wire.message.NoticeVersions

private val logger = KotlinLogging.logger {}

/**
 * Polls the head row and applies the configuration and key versions that it names.
 *
 * Calls [onNewVersions] after a change, and [onUnacknowledged] while the lease row shows other versions than those
 * applied.
 */
internal class HeadWatcher(
    private val settings: GatewaySettings,
    private val clock: Clock,
    private val table: TableStore,
    private val lease: GatewayLease,
    private val proof: FreshnessTracker,
    private val settingsLoader: SettingsLoader,
    private val keys: KeyCache,
    private val onNewVersions: () -> Unit,
    private val onUnacknowledged: () -> Unit,
) : AppliedVersions {
    private val pollMutex = Mutex()

    override val configVersion: Long
        get() = settingsLoader.version

    override val keyVersion: Long
        get() = keys.keyVersion

    /** Reads the head row once and applies its versions. */
    suspend fun poll() {
        val before = configVersion to keyVersion
        val result = pollMutex.withLock { pollOnce() }
        result.onLeft { logger.warnEvent("head_read_failed", "cause" to it) }
        if (before != configVersion to keyVersion) onNewVersions()
        if (!isAcknowledged()) onUnacknowledged()
    }

    /** Polls immediately if [notice] names a newer version than the ones applied. */
    suspend fun onNotice(notice: NoticeVersions) {
        if (notice.configVersion > configVersion || notice.keyVersion > keyVersion) poll()
    }

    private suspend fun pollOnce(): Either<StoreFailure, Unit> =
        either {
            val startedAt = clock.elapsed()
            val row = table.read(listOf(ConfigHead.rowKey(settings.environment))).bind().firstOrNull()
            proof.readSucceeded()
            val head = row?.decodeOrNull<ConfigHead>() ?: ConfigHead(0, 0)
            keys.advanceTo(head.keyVersion).bind()
            settingsLoader.advanceTo(head.configVersion).bind()
            proof.headApplied(startedAt)
        }

    /** Returns whether the lease row, which operators read, shows the applied versions. */
    private fun isAcknowledged(): Boolean {
        val record = lease.record ?: return true
        return record.configVersion == configVersion && record.keyVersion == keyVersion
    }
}
