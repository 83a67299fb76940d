package org.chestnutloom.fakes.record

import io.ktor.http.Headers
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.uri
import io.ktor.util.toMap
import org.chestnutloom.fakes.http.standInJson
import org.chestnutloom.time.Clock
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption

/**
 * Every request that a target received.
 *
 * Each record is also appended to [file] as one line of JSON, when received and after each change, so that the file
 * outlives the process; the last line with a number is that record's newest state.
 *
 * @property bodyLimit how many characters of each body are kept
 */
internal class RequestLog(
    private val clock: Clock,
    private val file: Path?,
    private val bodyLimit: Int,
) {
    private val lock = Any()
    private val records = mutableListOf<RequestRecord>()

    /** Records a request and returns its number. */
    fun received(
        call: ApplicationCall,
        body: ByteArray,
    ): Int =
        synchronized(lock) {
            val record = record(records.size + 1, call, body)
            records += record
            append(record)
            record.number
        }

    /** Replaces the record called [number] by what [edit] makes of it; its second argument is the time. */
    fun change(
        number: Int,
        edit: (RequestRecord, Long) -> RequestRecord,
    ) {
        synchronized(lock) {
            val record = edit(records[number - 1], clock.now().toEpochMilli())
            records[number - 1] = record
            append(record)
        }
    }

    /** Returns the records whose number is above [after]. */
    fun after(after: Int): List<RequestRecord> = synchronized(lock) { records.drop(after) }

    private fun record(
        number: Int,
        call: ApplicationCall,
        body: ByteArray,
    ): RequestRecord {
        val headers = call.request.headers
        return RequestRecord(
            number = number,
            receivedAtMs = clock.now().toEpochMilli(),
            requestId = headers[REQUEST_ID_HEADER],
            programId = headers[PROGRAM_ID_HEADER],
            method = call.request.httpMethod.value,
            path = call.request.uri,
            headers = headersOf(headers),
            body = body.decodeToString().take(bodyLimit),
            bodyBytes = body.size,
        )
    }

    private fun headersOf(headers: Headers): Map<String, List<String>> = headers.toMap()

    private fun append(record: RequestRecord) {
        val path = file ?: return
        val line = standInJson.encodeToString(record) + "\n"
        Files.writeString(path, line, StandardOpenOption.CREATE, StandardOpenOption.APPEND)
    }
}

/** Names the request to a target. */
internal const val REQUEST_ID_HEADER: String = "X-Request-Id"

/** Names the program whose prefix an engine's cache holds. */
internal const val PROGRAM_ID_HEADER: String = "X-Program-Id"
