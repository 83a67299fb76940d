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
 * A log of all requests that a target received.
 *
 * Each record is also appended to [file] as one line of JSON when it is added and after each update, so that the log
 * survives a crash of the process. The last line with a given number is the latest state of that record.
 *
 * @property maxBodyCharacters the maximum number of characters of each body in the log
 */
internal class RequestLog(
    private val clock: Clock,
    private val file: Path?,
    private val maxBodyCharacters: Int,
) {
    private val lock = Any()
    private val records = mutableListOf<RequestRecord>()

    /** Adds a record of a request and returns its number. */
    fun add(
        call: ApplicationCall,
        body: ByteArray,
    ): Int =
        synchronized(lock) {
            val record = record(records.size + 1, call, body)
            records += record
            append(record)
            record.number
        }

    /** Replaces the record [number] with the result of [edit], which also gets the time in milliseconds. */
    fun update(
        number: Int,
        edit: (RequestRecord, Long) -> RequestRecord,
    ) {
        synchronized(lock) {
            val record = edit(records[number - 1], clock.now().toEpochMilli())
            records[number - 1] = record
            append(record)
        }
    }

    /** Returns the records with a number greater than [after]. */
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
            body = body.decodeToString().take(maxBodyCharacters),
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

/** The header with the id of a request to a target. */
internal const val REQUEST_ID_HEADER: String = "X-Request-Id"

/** The header with the id of the program whose prefix the engine caches. */
internal const val PROGRAM_ID_HEADER: String = "X-Program-Id"
