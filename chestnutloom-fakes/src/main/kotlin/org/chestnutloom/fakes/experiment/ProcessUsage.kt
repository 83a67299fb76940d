package org.chestnutloom.fakes.experiment

import java.nio.file.Files
import java.nio.file.Path

/**
 * What a process has used since its start.
 *
 * @property processorMs processor time in milliseconds
 * @property residentKb memory that it holds now, in kilobytes
 */
internal data class ProcessUsage(
    val processorMs: Long,
    val residentKb: Long,
) {
    companion object {
        private const val MS_PER_TICK = 10L
        private const val USER_TICKS_FIELD = 11
        private const val SYSTEM_TICKS_FIELD = 12
        private const val RESIDENT_LINE = "VmRSS:"

        /** Reads the use of process [pid], or returns null when it has ended. */
        fun read(pid: Long): ProcessUsage? {
            val directory = Path.of("/proc", pid.toString())
            if (!Files.exists(directory)) return null
            val fields =
                Files
                    .readString(directory.resolve("stat"))
                    .substringAfterLast(')')
                    .trim()
                    .split(' ')
            val ticks = fields[USER_TICKS_FIELD].toLong() + fields[SYSTEM_TICKS_FIELD].toLong()
            return ProcessUsage(ticks * MS_PER_TICK, residentKb(directory))
        }

        private fun residentKb(directory: Path): Long =
            Files
                .readAllLines(directory.resolve("status"))
                .firstOrNull { it.startsWith(RESIDENT_LINE) }
                ?.filter(Char::isDigit)
                ?.toLongOrNull() ?: 0
    }
}
