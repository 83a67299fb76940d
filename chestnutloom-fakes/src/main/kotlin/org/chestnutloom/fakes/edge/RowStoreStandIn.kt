package org.chestnutloom.fakes.edge

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import org.chestnutloom.fakes.StandIn
import org.chestnutloom.fakes.http.HttpStandIn
import java.util.Base64
import kotlin.time.Duration.Companion.milliseconds

/** An in-memory implementation of the HTTP protocol of the users' row store. */
public class RowStoreStandIn : StandIn {
    private val rows = VersionedRows()
    private val server = HttpStandIn(0) { install(this) }

    /** The fault that is currently injected. */
    @Volatile
    public var fault: StoreFault = StoreFault.NONE

    override val port: Int
        get() = server.port

    override suspend fun start() {
        server.start()
    }

    override suspend fun stop() {
        server.stop()
    }

    /** Writes [text] to the row [key] of [table], as operators and targets do. */
    public fun put(
        table: String,
        key: String,
        text: String,
    ) {
        put(table, key, text.encodeToByteArray())
    }

    /** Writes [bytes] to the row [key] of [table]. */
    public fun put(
        table: String,
        key: String,
        bytes: ByteArray,
    ) {
        val value = Base64.getEncoder().encodeToString(bytes)
        rows.transact(emptyList(), listOf(VersionedRow(table, "", key, value, version = 0)), emptyList())
    }

    /** Returns the keys of the rows in [partition] of [table]. */
    public fun keys(
        table: String,
        partition: String = "",
    ): List<String> = rows.read(table, partition).map { it.key }

    /** Removes the row [key] of [table]. */
    public fun remove(
        table: String,
        key: String,
    ) {
        rows.transact(emptyList(), emptyList(), listOf(VersionedRow(table, "", key, value = null, version = 0)))
    }

    /** Discards the change history, so that watches get status 410 and have to read the rows again. */
    public fun discardHistory() {
        rows.discardHistory()
    }

    private fun install(route: Route) {
        route.get("/v1/rows-get") { call.respondUnlessFaulty { read(it) } }
        route.get("/v1/rows-feed") { call.respondUnlessFaulty { feed(it) } }
        route.post("/v1/rows-tx") { call.respondUnlessFaulty { transact(it) } }
    }

    private suspend fun ApplicationCall.respondUnlessFaulty(serve: suspend (ApplicationCall) -> Unit) {
        when (fault) {
            StoreFault.REFUSE -> respondText("", status = HttpStatusCode.ServiceUnavailable)
            StoreFault.SILENT -> awaitCancellation()
            else -> serve(this)
        }
    }

    private suspend fun read(call: ApplicationCall) {
        val parameters = call.request.queryParameters
        // Read before the rows, so that a watch from this version delivers all changes that the rows do not contain.
        val version = rows.version
        val from = parameters["from"].orEmpty()
        val found =
            rows.read(parameters["table"].orEmpty(), parameters["part"].orEmpty()).filter { it.key >= from }
        val page = found.take(minOf(MAX_PAGE_ROWS, rowsWithin(MAX_CALL_BYTES, found).coerceAtLeast(1)))
        call.respondRows(HttpStatusCode.OK, page, version, hasMore = page.size < found.size)
    }

    /** Returns how many of the first [rows] have at most [maxBytes] together. */
    private fun rowsWithin(
        maxBytes: Int,
        rows: List<VersionedRow>,
    ): Int {
        var bytes = 0
        return rows.takeWhile { row -> (bytes + (row.value?.length ?: 0)).also { bytes = it } <= maxBytes }.size
    }

    private suspend fun feed(call: ApplicationCall) {
        val table = call.request.queryParameters["table"].orEmpty()
        val after =
            call.request.queryParameters["after"]
                .orEmpty()
                .toLong()
        val waitMs =
            call.request.queryParameters["waitMs"]
                .orEmpty()
                .toLong()
        if (!rows.hasHistoryAfter(after)) return call.respondText("", status = HttpStatusCode.Gone)
        withTimeoutOrNull(waitMs.milliseconds) {
            while (rows.changedAfter(table, after).isEmpty()) delay(POLL_INTERVAL)
        }
        val version = rows.version
        call.respondRows(HttpStatusCode.OK, rows.changedAfter(table, after), version)
    }

    private suspend fun transact(call: ApplicationCall) {
        val text = call.receiveText()
        val body = Json.parseToJsonElement(text).jsonObject
        val conditions = body.rows("expectedRevision")
        val puts = body.rows("put")
        val removals = body.rows("remove")
        if (text.length > MAX_CALL_BYTES || isTooLarge(conditions + puts + removals)) {
            return call.respondText("", status = HttpStatusCode.PayloadTooLarge)
        }
        val conflict = rows.transact(conditions, puts, removals)
        if (fault == StoreFault.LOSE_REPLIES) awaitCancellation()
        val status = if (conflict == null) HttpStatusCode.OK else HttpStatusCode.PreconditionFailed
        call.respondRows(status, conflict.orEmpty(), rows.version)
    }

    private fun isTooLarge(entries: List<VersionedRow>): Boolean =
        entries.size > MAX_CALL_ENTRIES ||
            entries.any { row ->
                (row.value?.length ?: 0) > MAX_ROW_BYTES ||
                    listOf(row.table, row.partition, row.key).any { it.encodeToByteArray().size > MAX_NAME_BYTES }
            }

    private fun JsonObject.rows(name: String): List<VersionedRow> =
        get(name)?.jsonArray.orEmpty().map { it.jsonObject }.map { row ->
            VersionedRow(
                table = row.getValue("table").jsonPrimitive.content,
                partition = row.getValue("part").jsonPrimitive.content,
                key = row.getValue("key").jsonPrimitive.content,
                value = row["value"]?.jsonPrimitive?.content,
                version = row["ver"]?.jsonPrimitive?.long ?: 0,
            )
        }

    private suspend fun ApplicationCall.respondRows(
        status: HttpStatusCode,
        found: List<VersionedRow>,
        version: Long,
        hasMore: Boolean = false,
    ) {
        val body =
            buildJsonObject {
                put("rows", JsonArray(found.map(::encode)))
                put("hasMore", JsonPrimitive(hasMore))
                put("ver", version)
                put("nowMs", System.nanoTime() / NANOS_PER_MS)
            }
        respondText(body.toString(), ContentType.Application.Json, status)
    }

    private fun encode(row: VersionedRow): JsonObject =
        buildJsonObject {
            put("table", row.table)
            put("part", row.partition)
            put("key", row.key)
            put("ver", row.version)
            if (row.value == null) put("tombstone", true) else put("value", row.value)
        }

    private companion object {
        private val POLL_INTERVAL = 5.milliseconds

        // The limits of the protocol page.
        private const val MAX_CALL_ENTRIES = 100
        private const val MAX_CALL_BYTES = 1024 * 1024
        private const val MAX_ROW_BYTES = 65_536
        private const val MAX_NAME_BYTES = 200
        private const val MAX_PAGE_ROWS = 500

        private const val NANOS_PER_MS = 1_000_000L
    }
}
