package org.chestnutloom.fakes.launch

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.toImmutableMap

/**
 * One line of key=value pairs that a process wrote.
 *
 * @property fields the values by their keys
 */
public data class EventLine(
    public val fields: ImmutableMap<String, String>,
) {
    /** The name of the event, or null when the line tells of none. */
    public val event: String?
        get() = fields["event"]

    /** Returns the port in field [name]. */
    public fun port(name: String = "port"): Int = fields.getValue(name).toInt()

    public companion object {
        private val PAIR = Regex("""(?<=^|\s)([A-Za-z_][\w.]*)=("(?:[^"\\]++|\\.)*"|[^\s"]*)""")
        private val ESCAPED = Regex("""\\(.)""")

        // Matching quoted values recurses with their length, so only the start of a very long line is read.
        private const val MAX_CHARACTERS = 500

        /** Reads the pairs of [line]; a prefix without pairs is left out. */
        public fun parse(line: String): EventLine {
            val pairs = PAIR.findAll(line.take(MAX_CHARACTERS))
            return EventLine(pairs.associate { it.groupValues[1] to plain(it.groupValues[2]) }.toImmutableMap())
        }

        private fun plain(value: String): String {
            if (!value.startsWith('"')) return value
            return ESCAPED.replace(value.removeSurrounding("\"")) { unescaped(it.groupValues[1]) }
        }

        private fun unescaped(character: String): String = if (character == "n") "\n" else character
    }
}
