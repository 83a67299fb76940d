package org.chestnutloom.gateway.control

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.MutableSharedFlow
import org.chestnutloom.call.Refusal
import org.chestnutloom.common.log.event
import org.chestnutloom.config.AccessKey
import org.chestnutloom.config.KeyChange
import org.chestnutloom.config.KeyRecord
import org.chestnutloom.gateway.GatewaySettings
import org.chestnutloom.id.KeyId
import org.chestnutloom.store.StoreFailure
import org.chestnutloom.store.TableStore
import org.chestnutloom.store.decodeOrNull
import org.chestnutloom.store.scanAll
import org.chestnutloom.time.Clock
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/**
 * Caches access keys on use, and rereads the keys that key changes name.
 *
 * A key that is read while a key change is being applied is read again, so that a concurrent withdrawal is not missed.
 */
internal class KeyCache(
    private val settings: GatewaySettings,
    private val clock: Clock,
    private val table: TableStore,
    private val proof: FreshnessProof,
    private val source: SettingsSource,
) : KeyDirectory {
    private val keys = LruMap<KeyId, CachedKey>(MAX_KEYS)
    private val unknownKeys = LruMap<KeyId, CachedKey>(MAX_UNKNOWN_KEYS)
    private val withdrawn = LruMap<KeyId, Unit>(MAX_KEYS)
    private val withdrawnFlow =
        MutableSharedFlow<KeyId>(extraBufferCapacity = MAX_KEYS, onBufferOverflow = BufferOverflow.DROP_OLDEST)

    /** The version of the newest applied key change, or null until the head row has been read. */
    @Volatile
    private var version: Long? = null

    override val withdrawals: Flow<KeyId> = withdrawnFlow

    val keyVersion: Long
        get() = version ?: 0

    override suspend fun authenticate(bearer: String?): Either<Refusal, Caller> =
        either {
            val presented =
                bearer?.let(AccessKey::parse) ?: raise(ControlRefusals.unauthorized("No valid key was presented."))
            proof.check().bind()
            val record = lookUp(presented.id).bind()
            if (record == null || record.withdrawnAtMs != null || !presented.matches(record)) raise(unknownKey)
            val accounts =
                source.current.value
                    ?.settings
                    ?.accounts
                    ?: raise(ControlRefusals.stale("The gateway has not read a configuration yet."))
            if (record.account !in accounts) raise(unknownKey)
            Caller(record.account, record.id)
        }

    override fun isWithdrawn(key: KeyId): Boolean = synchronized(keys) { withdrawn.containsKey(key) }

    /** Applies all key changes up to [newVersion]. */
    suspend fun advanceTo(newVersion: Long): Either<StoreFailure, Unit> =
        either {
            val last = version
            if (last == null) {
                preload().bind()
                version = newVersion
                return@either
            }
            if (newVersion <= last) return@either
            val after = KeyChange.rowKey(settings.environment, last)
            val changes =
                table
                    .scanAll(KeyChange.prefix(settings.environment), after)
                    .bind()
                    .mapNotNull { it.decodeOrNull<KeyChange>() }
            refresh(changes.map { it.id }.toSet()).bind()
            val reached = changes.maxOfOrNull { it.version } ?: last
            version = maxOf(newVersion, reached)
            logger.event("keys_in_force", "version" to version, "changed" to changes.size)
        }

    /** Caches the first [PRELOADED_KEYS] keys, so that they can be checked during a store outage. */
    private suspend fun preload(): Either<StoreFailure, Unit> =
        either {
            val page = table.scan(KeyRecord.prefix(settings.environment), null, PRELOADED_KEYS).bind()
            page.rows.mapNotNull { it.decodeOrNull<KeyRecord>() }.forEach { store(it.id, it) }
        }

    private suspend fun refresh(ids: Set<KeyId>): Either<StoreFailure, Unit> =
        either {
            ids.chunked(READ_CHUNK).forEach { chunk ->
                val records = readRecords(chunk).bind()
                chunk.forEach { store(it, records[it]) }
            }
        }

    private suspend fun lookUp(id: KeyId): Either<Refusal, KeyRecord?> {
        cached(id)?.let { return it.record.right() }
        while (true) {
            val versionBefore = version
            val records =
                readRecords(listOf(id)).getOrElse {
                    return ControlRefusals.storeUnavailable("The key cannot be read from the store.").left()
                }
            if (version == versionBefore) {
                store(id, records[id])
                return records[id].right()
            }
        }
    }

    private suspend fun readRecords(ids: List<KeyId>): Either<StoreFailure, Map<KeyId, KeyRecord>> =
        table
            .read(ids.map { KeyRecord.rowKey(settings.environment, it) })
            .map { rows -> rows.mapNotNull { it.decodeOrNull<KeyRecord>() }.associateBy { it.id } }

    private fun cached(id: KeyId): CachedKey? =
        synchronized(keys) {
            keys[id] ?: unknownKeys[id]?.takeIf { clock.elapsed() - it.readAt < unknownKeyTtl }
        }

    private fun store(
        id: KeyId,
        record: KeyRecord?,
    ) {
        val entry = CachedKey(record, clock.elapsed())
        val isNewlyWithdrawn =
            synchronized(keys) {
                keys.remove(id)
                unknownKeys.remove(id)
                if (record == null) unknownKeys[id] = entry else keys[id] = entry
                record?.withdrawnAtMs != null && withdrawn.put(id, Unit) == null
            }
        if (!isNewlyWithdrawn) return
        withdrawnFlow.tryEmit(id)
        logger.event("key_withdrawn", "key" to id)
    }

    private companion object {
        const val MAX_KEYS = 50_000
        const val MAX_UNKNOWN_KEYS = 1_000
        const val PRELOADED_KEYS = 1_000
        const val READ_CHUNK = 100
        val unknownKeyTtl = 2.seconds
        val unknownKey = ControlRefusals.unauthorized("The key is unknown or withdrawn.")
    }
}
