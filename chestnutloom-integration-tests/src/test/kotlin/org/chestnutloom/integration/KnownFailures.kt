package org.chestnutloom.integration

import java.nio.file.Files
import java.nio.file.Path

/** The proofs that `KNOWN-RED.txt` at the root of the repository lists, one entry a line that starts with `proof=NAME`. */
internal object KnownFailures {
    private val file = Path.of("..", "KNOWN-RED.txt")

    /** Tells whether the failures of the proof [name] are passed over. */
    fun contains(name: String): Boolean = entries().any { it.startsWith("proof=$name ") }

    private fun entries(): List<String> = if (Files.exists(file)) Files.readAllLines(file) else emptyList()
}
