package org.chestnutloom.daemon.log

import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.classic.spi.IThrowableProxy
import ch.qos.logback.core.encoder.EncoderBase
import java.time.LocalDateTime
import java.time.ZoneOffset

/**
 * Encodes a log event as one line of `key=value` pairs: those of its message, then `time` (UTC), `level`, `logger` and,
 * if it has an exception, `cause`.
 */
internal class EventLineEncoder : EncoderBase<ILoggingEvent>() {
    override fun headerBytes(): ByteArray = EMPTY

    override fun footerBytes(): ByteArray = EMPTY

    override fun encode(event: ILoggingEvent): ByteArray {
        val line = StringBuilder(INITIAL_CHARACTERS)
        line.append(event.formattedMessage).append(" time=")
        appendTime(line, event.timeStamp)
        line.append(" level=").append(event.level)
        line.append(" logger=").append(event.loggerName.substringAfterLast('.'))
        event.throwableProxy?.let { appendCause(line, it) }
        return line.append('\n').toString().encodeToByteArray()
    }

    private fun appendTime(
        line: StringBuilder,
        epochMs: Long,
    ) {
        val seconds = Math.floorDiv(epochMs, MS_PER_SECOND)
        val time = LocalDateTime.ofEpochSecond(seconds, 0, ZoneOffset.UTC)
        line.append(time.year).append('-')
        appendPadded(line, time.monthValue, 2).append('-')
        appendPadded(line, time.dayOfMonth, 2).append('T')
        appendPadded(line, time.hour, 2).append(':')
        appendPadded(line, time.minute, 2).append(':')
        appendPadded(line, time.second, 2).append('.')
        appendPadded(line, Math.floorMod(epochMs, MS_PER_SECOND).toInt(), 3).append('Z')
    }

    private fun appendPadded(
        line: StringBuilder,
        number: Int,
        digits: Int,
    ): StringBuilder = line.append(number.toString().padStart(digits, '0'))

    private fun appendCause(
        line: StringBuilder,
        thrown: IThrowableProxy,
    ) {
        val chain = generateSequence(thrown) { it.cause }.take(MAX_CAUSES)
        val text = chain.joinToString(" Caused by: ", transform = ::describe)
        line.append(" cause=\"").append(text.replace(LINE_BREAKS, " ").replace('"', '\'')).append('"')
    }

    private fun describe(thrown: IThrowableProxy): String {
        val frames = thrown.stackTraceElementProxyArray.orEmpty().take(MAX_FRAMES)
        return frames.joinToString("", prefix = "${thrown.className}: ${thrown.message}") { " ${it.steAsString}" }
    }

    private companion object {
        private val EMPTY = ByteArray(0)
        private val LINE_BREAKS = Regex("\\s*[\\r\\n]+\\s*")
        private const val INITIAL_CHARACTERS = 400
        private const val MS_PER_SECOND = 1_000L
        private const val MAX_CAUSES = 4
        private const val MAX_FRAMES = 6
    }
}
