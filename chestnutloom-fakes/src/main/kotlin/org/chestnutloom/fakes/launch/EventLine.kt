package org.chestnutloom.fakes.launch

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.toImmutableMap

/**
 * A log line of key=value pairs that a process wrote.
 *
 * @property fields the values by key
 */
public data class EventLine(
    public val fields: ImmutableMap<String, String>,
) {
    /** The name of the event, or null if the line has none. */
    public val event: String?
        get() = fields["event"]

    /** Returns the port number in field [name]. */
    public fun port(name: String = "port"): Int = fields.getValue(name).toInt()

    public companion object {
        private val PAIR = Regex("""(?<=^|\s)([A-Za-z_][\w.]*)=("(?:[^"\\]++|\\.)*"|[^\s"]*)""")
        private val ESCAPED = Regex("""\\(.)""")

        // The regex matcher recurses into the repetitions of a quoted value, so a very long value could overflow the stack.
        private const val MAX_CHARACTERS = 500

        /** Parses the pairs in the first [MAX_CHARACTERS] characters of [line]; other text is ignored. */
        public fun parse(line: String): EventLine {
            val pairs = PAIR.findAll(line.take(MAX_CHARACTERS))
            return EventLine(pairs.associate { it.groupValues[1] to unquoted(it.groupValues[2]) }.toImmutableMap())
        }

        private fun unquoted(value: String): String {
            if (!value.startsWith('"')) return value
            return ESCAPED.replace(value.removeSurrounding("\"")) { unescaped(it.groupValues[1]) }
        }

        private fun unescaped(character: String): String = if (character == "n") "\n" else character
    }
}
