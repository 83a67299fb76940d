package org.chestnutloom.cli.store

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.delay
import org.chestnutloom.cli.CommandFailure
import org.chestnutloom.config.ConfigHead
import org.chestnutloom.config.ConfigRecord
import org.chestnutloom.config.KeyChange
import org.chestnutloom.config.KeyRecord
import org.chestnutloom.config.diffDocuments
import org.chestnutloom.config.digest
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.mechanism.Mechanisms
import org.chestnutloom.store.Condition
import org.chestnutloom.store.RowWrite
import org.chestnutloom.store.StoreFailure
import org.chestnutloom.store.Transaction
import org.chestnutloom.store.transactAndResolve
import java.time.Instant
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Changes one environment by compare-and-set on its head row, and resolves writes whose reply is lost. */
internal class ChangeWriter(
    private val store: EnvironmentStore,
    private val mechanisms: Mechanisms,
) {
    private val environment = store.environment

    /**
     * Writes [record] as the configuration version after [base] and returns its version.
     *
     * A concurrent key change is not a conflict; a concurrent configuration change is.
     */
    suspend fun writeDocument(
        base: Long,
        record: (Long) -> ConfigRecord,
    ): Either<CommandFailure, Long> = retryOnConflict { tryWriteDocument(base, record) }

    /** Writes [key] as the next key change and returns the version of the change. */
    suspend fun writeKey(
        key: KeyRecord,
        rowVersion: Long,
    ): Either<CommandFailure, Long> = retryOnConflict { tryWriteKey(key, rowVersion) }

    private suspend fun tryWriteDocument(
        base: Long,
        record: (Long) -> ConfigRecord,
    ): Either<CommandFailure, Long?> =
        either {
            val head = store.readHead().bind()
            if (head.head.configVersion != base &&
                usesCompareAndSet()
            ) {
                raise(conflictSince(base, head.head.configVersion).bind())
            }
            val version = head.head.configVersion + 1
            val rowKey = ConfigRecord.rowKey(environment, version)
            val row = RowWrite(rowKey, rowJson.encodeToString(ConfigRecord.serializer(), record(version)))
            val newHead = head.head.copy(configVersion = version)
            val written =
                write(head, newHead, listOf(row), listOf(Condition(rowKey, Condition.ABSENT)), markerKey = rowKey)
            if (written.bind()) version else null
        }

    private suspend fun tryWriteKey(
        key: KeyRecord,
        rowVersion: Long,
    ): Either<CommandFailure, Long?> =
        either {
            val head = store.readHead().bind()
            val version = head.head.keyVersion + 1
            val keyRow = KeyRecord.rowKey(environment, key.id)
            val changeRow = KeyChange.rowKey(environment, version)
            val change = rowJson.encodeToString(KeyChange.serializer(), KeyChange(version, key.id))
            val writes = listOf(RowWrite(keyRow, encode(key)), RowWrite(changeRow, change))
            val conditions = listOf(Condition(keyRow, rowVersion), Condition(changeRow, Condition.ABSENT))
            if (keyChanged(key, rowVersion).bind()) raise(keyConflict(key))
            val written = write(head, head.head.copy(keyVersion = version), writes, conditions, markerKey = changeRow)
            if (written.bind()) version else null
        }

    /**
     * Returns true if the change was applied, and false if a concurrent change was written first.
     *
     * If the reply is lost, the outcome is read from the row [markerKey], which is created here and never changed.
     */
    private suspend fun write(
        head: VersionedHead,
        newHead: ConfigHead,
        rows: List<RowWrite>,
        conditions: List<Condition>,
        markerKey: String,
    ): Either<CommandFailure, Boolean> {
        val headKey = ConfigHead.rowKey(environment)
        val headRow = RowWrite(headKey, rowJson.encodeToString(ConfigHead.serializer(), newHead))
        val required = if (usesCompareAndSet()) conditions + Condition(headKey, head.rowVersion) else emptyList()
        val result = store.table.transactAndResolve(Transaction(required, rows + headRow), markerKey)
        return result.fold({
            if (it is StoreFailure.Conflict) false.right() else it.toCommandFailure().left()
        }, { true.right() })
    }

    private fun usesCompareAndSet(): Boolean = mechanisms.has(Mechanism.CONFIG_COMPARE_AND_SET)

    private suspend fun keyChanged(
        key: KeyRecord,
        rowVersion: Long,
    ): Either<CommandFailure, Boolean> =
        store.readRow(KeyRecord.rowKey(environment, key.id)).map { (it?.version ?: Condition.ABSENT) != rowVersion }

    private fun keyConflict(key: KeyRecord): CommandFailure =
        CommandFailure.Conflict(listOf("key ${key.id} was changed").toImmutableList())

    private fun encode(key: KeyRecord): String = rowJson.encodeToString(KeyRecord.serializer(), key)

    /** Returns a conflict with the author and the changed settings of each version after [base] up to [newest]. */
    private suspend fun conflictSince(
        base: Long,
        newest: Long,
    ): Either<CommandFailure, CommandFailure> =
        either {
            if (base > newest) raise(CommandFailure.NotFound("version $base in $environment"))
            var before = if (base == 0L) "" else store.readRecord(base).bind().document
            val changes =
                (base + 1..newest).map { version ->
                    val record = store.readRecord(version).bind()
                    describe(record, before).also { before = record.document }
                }
            CommandFailure.Conflict(changes.toImmutableList())
        }

    private fun describe(
        record: ConfigRecord,
        before: String,
    ): String {
        val paths = diffDocuments(before, record.document).fold({ emptyList() }, { all -> all.map { it.path } })
        val time = Instant.ofEpochMilli(record.createdAtMs)
        return "version ${record.version} by ${record.author} at $time changed ${paths.joinToString().ifEmpty {
            "nothing"
        }}"
    }

    private suspend fun retryOnConflict(
        attempt: suspend () -> Either<CommandFailure, Long?>,
    ): Either<CommandFailure, Long> {
        repeat(MAX_ATTEMPTS) {
            val result = attempt()
            result.fold({ return it.left() }, { version -> if (version != null) return version.right() })
            delay(Random.nextInt(MAX_BACKOFF_MS).milliseconds)
        }
        return CommandFailure.Conflict(listOf("too many concurrent changes to $environment").toImmutableList()).left()
    }

    companion object {
        private const val MAX_ATTEMPTS = 50
        private const val MAX_BACKOFF_MS = 50

        /** Returns the record of [document] as a version of an environment. */
        fun record(
            version: Long,
            document: String,
            author: String,
            createdAtMs: Long,
            promotedFrom: String? = null,
        ): ConfigRecord = ConfigRecord(version, digest(document), document, author, createdAtMs, promotedFrom)
    }
}
