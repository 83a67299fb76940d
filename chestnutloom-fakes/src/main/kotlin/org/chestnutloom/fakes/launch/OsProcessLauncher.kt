package org.chestnutloom.fakes.launch

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger

/** Returns a launcher whose processes use [classPath] and write their output to files in [outputDirectory]. */
public fun processLauncher(
    outputDirectory: Path = Files.createTempDirectory("chestnutloom"),
    classPath: String = currentClassPath(),
): ProcessLauncher = OsProcessLauncher(outputDirectory, classPath)

private class OsProcessLauncher(
    private val outputDirectory: Path,
    private val classPath: String,
) : ProcessLauncher {
    private val processes = CopyOnWriteArrayList<OsProcess>()
    private val started = AtomicInteger()
    private val shutdownHook = Thread { processes.forEach(OsProcess::kill9) }

    init {
        Files.createDirectories(outputDirectory)
        Runtime.getRuntime().addShutdownHook(shutdownHook)
    }

    override fun start(spec: ProcessSpec): LaunchedProcess {
        val output = outputDirectory.resolve("${started.incrementAndGet()}-${spec.name}.log")
        val builder = ProcessBuilder(command(spec)).redirectErrorStream(true).redirectOutput(output.toFile())
        builder.environment().putAll(spec.environment)
        val process = OsProcess(spec.name, output, builder.start())
        processes += process
        return process
    }

    override fun close() {
        processes.forEach(OsProcess::kill9)
        processes.forEach(OsProcess::join)
        Runtime.getRuntime().removeShutdownHook(shutdownHook)
    }

    private fun command(spec: ProcessSpec): List<String> =
        buildList {
            add(Path.of(System.getProperty("java.home"), "bin", "java").toString())
            add("-Xmx${spec.jvm.heapMb}m")
            addAll(spec.jvm.flags)
            add("-cp")
            add(classPath)
            add(spec.mainClass)
            addAll(spec.arguments)
        }
}
