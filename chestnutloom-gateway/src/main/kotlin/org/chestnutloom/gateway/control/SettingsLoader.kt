package org.chestnutloom.gateway.control

import arrow.core.Either
import arrow.core.raise.either
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import org.chestnutloom.common.log.event
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.config.ConfigRecord
import org.chestnutloom.config.DocumentDecoder
import org.chestnutloom.gateway.GatewaySettings
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.store.StoreFailure
import org.chestnutloom.store.TableStore
import org.chestnutloom.store.decodeOrNull

private val logger = KotlinLogging.logger {}

/** Reads and applies accepted configuration versions; with [Mechanism.CONFIG_MONOTONIC] only increasing ones. */
internal class SettingsLoader(
    private val settings: GatewaySettings,
    private val table: TableStore,
    private val decoder: DocumentDecoder,
) : SettingsSource {
    private val state = MutableStateFlow<VersionedSettings?>(null)
    private val isMonotonic = settings.mechanisms.has(Mechanism.CONFIG_MONOTONIC)
    private var rejectedVersion = 0L

    override val current: StateFlow<VersionedSettings?> = state

    val version: Long
        get() = state.value?.version ?: 0

    /** Applies [newVersion] if it is newer than the current version and its document can be decoded. */
    suspend fun advanceTo(newVersion: Long): Either<StoreFailure, Unit> =
        either {
            val isWanted = if (isMonotonic) newVersion > version else newVersion != version
            if (!isWanted || newVersion == rejectedVersion) return@either
            val key = ConfigRecord.rowKey(settings.environment, newVersion)
            val row = table.read(listOf(key)).bind().firstOrNull()
            val record = row?.decodeOrNull<ConfigRecord>()
            if (record == null) reject(newVersion, "configuration row $key is missing or malformed") else decode(record)
        }

    private fun decode(record: ConfigRecord) {
        decoder.decode(record.document).fold(
            { faults -> reject(record.version, faults.joinToString("; ")) },
            { decoded ->
                state.value = VersionedSettings(record.version, decoded, record.document)
                logger.event("config_in_force", "version" to record.version, "digest" to record.digest)
            },
        )
    }

    private fun reject(
        newVersion: Long,
        cause: String,
    ) {
        rejectedVersion = newVersion
        logger.warnEvent("config_rejected", "version" to newVersion, "kept" to version, "cause" to cause)
    }
}
