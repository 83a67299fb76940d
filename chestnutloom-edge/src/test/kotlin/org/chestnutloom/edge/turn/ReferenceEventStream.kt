package org.chestnutloom.edge.turn

/** Reads the whole [text] of an event stream at once, as the standard describes it; each character is one byte. */
internal class ReferenceEventStream(
    text: String,
) {
    private val lines = text.removePrefix(BYTE_ORDER_MARK).split(LINE_END)
    private val blocks = blocksOf(lines.dropLast(1))

    /** The data of the events, each followed by a line feed. */
    val output: String =
        blocks
            .dropLast(1)
            .map { block -> block.mapNotNull(::dataOf) }
            .filter { it.isNotEmpty() }
            .joinToString("") { it.joinToString("\n", postfix = "\n") }

    /** Whether more of the stream must follow, such as the line feed that the other carriage returns have. */
    val isInsideEvent: Boolean =
        lines.last().isNotEmpty() || blocks.last().any { !it.startsWith(":") } || text.endsWith("\r") && "\r\n" in text

    /** Returns the lines of each block that ends with an empty line, and at last those behind the last empty line. */
    private fun blocksOf(lines: List<String>): List<List<String>> =
        lines.fold(listOf(emptyList())) { blocks, line ->
            if (line.isEmpty()) blocks + listOf(emptyList()) else blocks.dropLast(1) + listOf(blocks.last() + line)
        }

    private fun dataOf(line: String): String? =
        if (line.substringBefore(':') == "data") line.substringAfter(':', "").removePrefix(" ") else null

    companion object {
        const val BYTE_ORDER_MARK = "\u00EF\u00BB\u00BF"
        private val LINE_END = Regex("\r\n|\r|\n")
    }
}
