package org.chestnutloom.integration.benchmark

import org.chestnutloom.adapter.TARGET_HEALTH_CONTRACT
import org.chestnutloom.fakes.edge.RowStoreStandIn
import java.io.File
import java.net.HttpURLConnection
import java.net.URI
import java.nio.file.Files

/** A process of the edge gateway, started with the command of `deploy/system.toml` on its own loopback address. */
internal class EdgeProcess(
    index: Int,
    store: RowStoreStandIn,
    private val jvmFlags: List<String> = emptyList(),
) : AutoCloseable {
    private val host = "127.0.1.${index + 1}"
    private val log = Files.createTempFile("edge-$index-", ".log")
    private val classLog = Files.createTempFile("edge-$index-", ".classes")
    private val process: Process =
        ProcessBuilder(command(index, store))
            .apply { environment() += mapOf(CONTRACTS) }
            .redirectErrorStream(true)
            .redirectOutput(log.toFile())
            .start()

    /** The process id. */
    val pid: Long
        get() = process.pid()

    /** The number of classes that were loaded so far, and of those that the class archive did not contain. */
    val loadedClasses: LoadedClasses
        get() {
            val lines = Files.readAllLines(classLog).filter { "source:" in it }
            return LoadedClasses(lines.size, lines.count { "shared objects file" !in it })
        }

    /** The base URL for callers. */
    val callerUrl: String
        get() = "http://$host:$CALLER_PORT"

    /** Whether the gateway has logged that it listens. */
    val isListening: Boolean
        get() = "event=listening" in Files.readString(log)

    /** Whether the gateway's health check succeeds. */
    val isReady: Boolean
        get() {
            val connection = URI("http://$host:$HEALTH_PORT/").toURL().openConnection() as HttpURLConnection
            return runCatching { connection.responseCode == HttpURLConnection.HTTP_OK }.getOrDefault(false)
        }

    /** Shuts the gateway down gracefully. */
    fun stop() {
        process.destroy()
        process.waitFor()
    }

    override fun close() {
        process.destroyForcibly().waitFor()
        Files.deleteIfExists(log)
        Files.deleteIfExists(classLog)
    }

    private fun command(
        index: Int,
        store: RowStoreStandIn,
    ): List<String> {
        val values =
            mapOf(
                "nodeName" to "edge-${index + 1}",
                "zone" to "domain-${index % FAILURE_DOMAINS + 1}",
                "ip" to host,
                "internalPortRange.0" to "$LINK_PORT",
                "listenAddresses.frontend" to "$host:$CALLER_PORT",
                "listenAddresses.readiness" to "$host:$HEALTH_PORT",
                "platform.address" to "127.0.0.1:${store.port}",
                "platform.rowBytes" to "65536",
                "bounds.graceS" to "8",
            )
        val command = values.entries.fold(deployedCommand()) { text, (name, value) -> text.replace("{{$name}}", value) }
        val (program, arguments) = command.split(' ').let { it.first() to it.drop(1) }
        return listOf(program) + arguments.takeWhile { it != CLASS_PATH_FLAG } + ownFlags() +
            arguments.dropWhile { it != CLASS_PATH_FLAG }
    }

    /** One processor, as on the small VMs that gateways run on. */
    private fun ownFlags() = listOf("-XX:ActiveProcessorCount=1", "-Xlog:class+load:file=$classLog") + jvmFlags

    private fun deployedCommand(): String =
        File(DEPLOY_FILE)
            .readLines()
            .first { it.startsWith("run = ") }
            .substringAfter('"')
            .substringBeforeLast('"')

    private companion object {
        /** The contract with which all parts of the gateway are active. */
        val CONTRACTS = "CHESTNUTLOOM_CONTRACTS" to TARGET_HEALTH_CONTRACT
        const val CLASS_PATH_FLAG = "-cp"
        const val DEPLOY_FILE = "deploy/system.toml"
        const val FAILURE_DOMAINS = 3
        const val LINK_PORT = 17_780
        const val CALLER_PORT = 17_781
        const val HEALTH_PORT = 17_782
    }
}
