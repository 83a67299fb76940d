package org.chestnutloom.integration

import java.nio.file.Files
import java.nio.file.Path

/** The proofs listed in `KNOWN-RED.txt` at the repository root; each entry is a line that starts with `proof=NAME`. */
internal object KnownFailures {
    private val file = Path.of("..", "KNOWN-RED.txt")

    /** Returns whether the proof [name] is known to fail. */
    fun contains(name: String): Boolean = entries().any { it.startsWith("proof=$name ") }

    private fun entries(): List<String> = if (Files.exists(file)) Files.readAllLines(file) else emptyList()
}
