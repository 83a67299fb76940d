package org.chestnutloom.edge.turn

import java.io.ByteArrayOutputStream

/**
 * Parses a `text/event-stream`: counts its events, tells whether it may end, and optionally collects the events' data.
 *
 * Without the data, it keeps only the first bytes of a line, so that an event of any length can be read.
 *
 * @param collectsData whether to collect the data of the events for [output]
 */
public class EventStreamParser(
    private val collectsData: Boolean,
) {
    private val line = ByteArrayOutputStream()
    private val data = ByteArrayOutputStream()
    private val output = ByteArrayOutputStream()
    private var hasFields = false
    private var hasData = false
    private var lastWasCarriageReturn = false

    /** Whether a line ended with a carriage return and a line feed, so that the others are expected to do so as well. */
    private var usesLineFeeds = false

    /** Whether the stream may still begin with a byte order mark. */
    private var isAtStart = true

    /** The number of complete events so far. */
    public var eventCount: Int = 0
        private set

    /** Whether an event or a line has begun and not ended yet, so that more of the stream must follow. */
    public val isInsideEvent: Boolean
        get() = hasFields || line.size() > 0 || lastWasCarriageReturn && usesLineFeeds

    /** Whether what is collected exceeded [MAX_EVENT_BYTES] or [MAX_OUTPUT_BYTES], so that nothing more is parsed. */
    public val isTooLarge: Boolean
        get() = collectsData && (line.size() + data.size() > MAX_EVENT_BYTES || output.size() > MAX_OUTPUT_BYTES)

    /** Returns the data of the events so far, each followed by a line feed. */
    public fun output(): ByteArray = output.toByteArray()

    /** Parses the next [bytes] of the stream. */
    public fun read(bytes: ByteArray) {
        if (!isTooLarge) bytes.forEach(::read)
    }

    private fun read(byte: Byte) {
        val isLineEnd = byte == LINE_FEED || byte == CARRIAGE_RETURN
        val isLineFeedOfCrLf = byte == LINE_FEED && lastWasCarriageReturn
        lastWasCarriageReturn = byte == CARRIAGE_RETURN
        when {
            isLineFeedOfCrLf -> usesLineFeeds = true
            isLineEnd -> endLine()
            collectsData || line.size() < MAX_PREFIX_BYTES -> line.write(byte.toInt())
        }
        if (isAtStart && line.size() == BYTE_ORDER_MARK.size) skipByteOrderMark()
    }

    private fun skipByteOrderMark() {
        isAtStart = false
        if (line.toByteArray().contentEquals(BYTE_ORDER_MARK)) line.reset()
    }

    private fun endLine() {
        isAtStart = false
        if (line.size() == 0) endEvent() else readField()
        line.reset()
    }

    private fun readField() {
        val bytes = line.toByteArray()
        if (bytes[0] == COLON) return
        hasFields = true
        if (!isDataField(bytes)) return
        if (collectsData) collect(bytes)
        hasData = true
    }

    /** Returns whether the name of the field in [bytes] is `data`; a field without a colon has an empty value. */
    private fun isDataField(bytes: ByteArray): Boolean {
        if (bytes.size < DATA_NAME.size || DATA_NAME.indices.any { bytes[it] != DATA_NAME[it] }) return false
        return bytes.size == DATA_NAME.size || bytes[DATA_NAME.size] == COLON
    }

    private fun collect(bytes: ByteArray) {
        if (hasData) data.write(LINE_FEED.toInt())
        val valueStart = DATA_NAME.size + 1
        val hasSpace = bytes.size > valueStart && bytes[valueStart] == SPACE
        val start = if (hasSpace) valueStart + 1 else valueStart
        if (start < bytes.size) data.write(bytes, start, bytes.size - start)
    }

    private fun endEvent() {
        hasFields = false
        if (!hasData) return
        eventCount++
        hasData = false
        if (!collectsData) return
        data.write(LINE_FEED.toInt())
        data.writeTo(output)
        data.reset()
    }

    private companion object {
        /** Far above the data of an event of a model's response. */
        private const val MAX_EVENT_BYTES = 1024 * 1024

        /** Far above the longest response of a model. */
        private const val MAX_OUTPUT_BYTES = 4 * 1024 * 1024

        private const val COLON = ':'.code.toByte()
        private const val LINE_FEED = '\n'.code.toByte()
        private const val CARRIAGE_RETURN = '\r'.code.toByte()
        private const val SPACE = ' '.code.toByte()
        private val DATA_NAME = "data".encodeToByteArray()
        private val BYTE_ORDER_MARK = "\uFEFF".encodeToByteArray()

        /** Enough of a line to tell comments, `data` and a byte order mark. */
        private val MAX_PREFIX_BYTES = DATA_NAME.size + 1
    }
}
