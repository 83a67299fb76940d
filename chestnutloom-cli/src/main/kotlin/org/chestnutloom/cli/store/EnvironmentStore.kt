package org.chestnutloom.cli.store

import arrow.core.Either
import arrow.core.raise.either
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.chestnutloom.cli.CommandFailure
import org.chestnutloom.config.ConfigHead
import org.chestnutloom.config.ConfigRecord
import org.chestnutloom.config.digest
import org.chestnutloom.store.Condition
import org.chestnutloom.store.Row
import org.chestnutloom.store.StoreFailure
import org.chestnutloom.store.TableStore

/** Reads the rows of one environment. */
internal class EnvironmentStore(
    val table: TableStore,
    val environment: String,
) {
    /** Returns the head and its row version; a new environment has an empty head. */
    suspend fun readHead(): Either<CommandFailure, VersionedHead> =
        either {
            val row = readRow(ConfigHead.rowKey(environment)).bind()
            val head = row?.let { decode(ConfigHead.serializer(), it).bind() } ?: ConfigHead(0, 0)
            VersionedHead(head, row?.version ?: Condition.ABSENT)
        }

    /** Returns the record of [version] after checking its document against its digest. */
    suspend fun readRecord(version: Long): Either<CommandFailure, ConfigRecord> =
        either {
            val row = readRow(ConfigRecord.rowKey(environment, version)).bind()
            val record = row?.let { decode(ConfigRecord.serializer(), it).bind() }
            if (record == null) raise(CommandFailure.NotFound("version $version in $environment"))
            if (digest(record.document) !=
                record.digest
            ) {
                raise(CommandFailure.Corrupt("version $version of $environment"))
            }
            record
        }

    /** Returns the newest record, or null when there is none. */
    suspend fun readNewest(): Either<CommandFailure, ConfigRecord?> =
        either {
            val version = readHead().bind().head.configVersion
            if (version == 0L) null else readRecord(version).bind()
        }

    /** Returns the row with [key], or null when there is none. */
    suspend fun readRow(key: String): Either<CommandFailure, Row?> =
        table.read(listOf(key)).map { it.firstOrNull() }.mapLeft { it.toCommandFailure() }

    /** Returns all rows whose key starts with [prefix], decoded. */
    suspend fun <T> readAll(
        prefix: String,
        type: DeserializationStrategy<T>,
    ): Either<CommandFailure, List<T>> = either { readRows(prefix).bind().map { decode(type, it).bind() } }

    /** Returns all rows whose key starts with [prefix]. */
    suspend fun readRows(prefix: String): Either<CommandFailure, List<Row>> =
        either {
            val rows = mutableListOf<Row>()
            var page = table.scan(prefix, null, PAGE_ROWS).mapLeft { it.toCommandFailure() }.bind()
            rows += page.rows
            while (page.hasMore) {
                page = table.scan(prefix, rows.last().key, PAGE_ROWS).mapLeft { it.toCommandFailure() }.bind()
                rows += page.rows
            }
            rows
        }

    fun <T> decode(
        type: DeserializationStrategy<T>,
        row: Row,
    ): Either<CommandFailure, T> =
        try {
            Either.Right(rowJson.decodeFromString(type, row.value))
        } catch (_: SerializationException) {
            Either.Left(CommandFailure.Corrupt("row ${row.key}"))
        }

    private companion object {
        private const val PAGE_ROWS = 500
    }
}

/** The JSON format of rows; unknown fields are ignored. */
internal val rowJson: Json =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = true
    }

/** Maps a store failure to the failure of a command that has changed nothing yet. */
internal fun StoreFailure.toCommandFailure(): CommandFailure =
    when (this) {
        is StoreFailure.Unavailable -> CommandFailure.StoreUnavailable(detail)
        is StoreFailure.OutcomeUnknown -> CommandFailure.OutcomeUnknown(detail)
        is StoreFailure.Malformed -> CommandFailure.OutcomeUnknown(detail)
        is StoreFailure.Conflict -> CommandFailure.OutcomeUnknown("rows $failedKeys changed")
    }
