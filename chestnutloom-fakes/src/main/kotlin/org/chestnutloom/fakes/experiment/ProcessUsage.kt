package org.chestnutloom.fakes.experiment

import java.nio.file.Files
import java.nio.file.Path

/**
 * Resource usage of a process.
 *
 * @property cpuMs CPU time since the start of the process, in milliseconds
 * @property residentKb current resident memory, in kilobytes
 */
internal data class ProcessUsage(
    val cpuMs: Long,
    val residentKb: Long,
) {
    companion object {
        // Linux reports CPU times in /proc in units of USER_HZ, which is 1/100 s.
        private const val MS_PER_TICK = 10L

        // The positions of utime and stime in /proc/PID/stat, among the fields that follow the process name.
        private const val USER_TICKS_FIELD = 11
        private const val SYSTEM_TICKS_FIELD = 12

        private const val RESIDENT_LINE = "VmRSS:"

        /** Returns the usage of process [pid], or null if the process has ended. */
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
