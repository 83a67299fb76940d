package org.chestnutloom.common.log

import io.github.oshai.kotlinlogging.KLogger

/** Logs [event] at info level as one line of `key=value` pairs. */
public fun KLogger.event(
    event: String,
    vararg fields: Pair<String, Any?>,
) {
    info { logLine(event, fields.asList()) }
}

/** Logs [event] at warn level as one line of `key=value` pairs. */
public fun KLogger.warnEvent(
    event: String,
    vararg fields: Pair<String, Any?>,
) {
    warn { logLine(event, fields.asList()) }
}

/** Formats one line of `key=value` pairs; quotes values that contain spaces, quotes, `=`, `\` or control characters. */
internal fun logLine(
    event: String,
    fields: List<Pair<String, Any?>>,
): String = (listOf("event" to event) + fields).joinToString(" ") { (key, value) -> "$key=${quoted(value.toString())}" }

private fun quoted(text: String): String {
    val needsNoQuotes = text.isNotEmpty() && text.none { it <= ' ' || it == '"' || it == '=' || it == '\\' }
    if (needsNoQuotes) return text
    return buildString {
        append('"')
        text.forEach { append(escaped(it)) }
        append('"')
    }
}

private fun escaped(character: Char): String =
    when {
        character == '"' -> "\\\""
        character == '\\' -> "\\\\"
        character == '\n' -> "\\n"
        character < ' ' -> "\\u%04x".format(character.code)
        else -> character.toString()
    }
