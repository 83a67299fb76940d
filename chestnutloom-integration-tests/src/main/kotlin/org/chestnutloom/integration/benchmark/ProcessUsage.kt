package org.chestnutloom.integration.benchmark

import java.nio.file.Files
import java.nio.file.Path

/**
 * The resource usage of a process.
 *
 * @property residentMb current resident memory in megabytes
 */
internal data class ProcessUsage(
    val cpuSeconds: Double,
    val residentMb: Double,
) {
    companion object {
        private const val MS_PER_SECOND = 1_000.0
        private const val KB_PER_MB = 1_024.0

        /** Reads the usage of process [pid]. */
        fun of(pid: Long): ProcessUsage {
            val cpu = ProcessHandle.of(pid).flatMap { it.info().totalCpuDuration() }
            val cpuSeconds = cpu.map { it.toMillis() / MS_PER_SECOND }.orElse(0.0)
            return ProcessUsage(cpuSeconds, residentKb(pid) / KB_PER_MB)
        }

        private fun residentKb(pid: Long): Long {
            val lines = Files.readAllLines(Path.of("/proc/$pid/status"))
            val line = lines.firstOrNull { it.startsWith("VmRSS:") } ?: return 0
            return line.filter { it.isDigit() }.toLong()
        }
    }
}
