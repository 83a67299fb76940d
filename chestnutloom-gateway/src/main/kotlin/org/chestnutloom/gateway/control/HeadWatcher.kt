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

/** Reads the head row at each poll, puts newer versions in force, and tells peers and operators. */
internal class HeadWatcher(
    private val settings: GatewaySettings,
    private val clock: Clock,
    private val table: TableStore,
    private val lease: GatewayLease,
    private val proof: ProofKeeper,
    private val documents: SettingsKeeper,
    private val keys: KeyCache,
    private val onNewVersions: () -> Unit,
    private val onUnacknowledged: () -> Unit,
) : VersionsInForce {
    private val polls = Mutex()

    override val configVersion: Long
        get() = documents.version

    override val keyVersion: Long
        get() = keys.keyVersion

    /** Reads the head row once and puts its versions in force. */
    suspend fun poll() {
        val before = configVersion to keyVersion
        val result = polls.withLock { pollOnce() }
        result.onLeft { logger.warnEvent("head_read_failed", "cause" to it) }
        if (before != configVersion to keyVersion) onNewVersions()
        if (!isAcknowledged()) onUnacknowledged()
    }

    /** Polls at once when [notice] tells of a newer version than those in force. */
    suspend fun noticed(notice: NoticeVersions) {
        if (notice.configVersion > configVersion || notice.keyVersion > keyVersion) poll()
    }

    private suspend fun pollOnce(): Either<StoreFailure, Unit> =
        either {
            val startedAt = clock.elapsed()
            val row = table.read(listOf(ConfigHead.rowKey(settings.environment))).bind().firstOrNull()
            proof.readEnded()
            val head = row?.decodeOrNull<ConfigHead>() ?: ConfigHead(0, 0)
            keys.advanceTo(head.keyVersion).bind()
            documents.advanceTo(head.configVersion).bind()
            proof.headInForce(startedAt)
        }

    /** Tells whether the lease row, where operators look, shows the versions in force. */
    private fun isAcknowledged(): Boolean {
        val record = lease.record ?: return true
        return record.configVersion == configVersion && record.keyVersion == keyVersion
    }
}
