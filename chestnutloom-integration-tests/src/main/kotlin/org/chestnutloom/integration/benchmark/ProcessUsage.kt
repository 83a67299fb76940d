package org.chestnutloom.integration.benchmark

import java.nio.file.Files
import java.nio.file.Path

/**
 * The resource usage of a process.
 *
 * @property residentMb current resident memory in megabytes
 * @property peakMb largest resident memory so far in megabytes
 */
internal data class ProcessUsage(
    val cpuSeconds: Double,
    val residentMb: Double,
    val peakMb: Double,
) {
    companion object {
        private const val MS_PER_SECOND = 1_000.0
        private const val KB_PER_MB = 1_024.0

        /** Reads the usage of process [pid]. */
        fun of(pid: Long): ProcessUsage {
            val cpu = ProcessHandle.of(pid).flatMap { it.info().totalCpuDuration() }
            val cpuSeconds = cpu.map { it.toMillis() / MS_PER_SECOND }.orElse(0.0)
            val status = Path.of("/proc/$pid/status")
            return ProcessUsage(
                cpuSeconds,
                residentMb = field(status, "VmRSS:") / KB_PER_MB,
                peakMb = field(status, "VmHWM:") / KB_PER_MB,
            )
        }

        /** Returns the number in the field [name] of the file [status], or 0 if the thread or process has ended. */
        private fun field(
            status: Path,
            name: String,
        ): Long {
            val lines = if (Files.exists(status)) Files.readAllLines(status) else emptyList()
            val line = lines.firstOrNull { it.startsWith(name) } ?: return 0
            return line.filter { it.isDigit() }.toLong()
        }
    }
}
