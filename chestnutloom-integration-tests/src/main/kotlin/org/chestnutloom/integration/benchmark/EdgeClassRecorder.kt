package org.chestnutloom.integration.benchmark

import kotlinx.coroutines.delay
import org.chestnutloom.fakes.edge.ProgramLoad
import org.chestnutloom.fakes.edge.RowStoreStandIn
import org.chestnutloom.fakes.edge.StoreFault
import java.nio.file.Files
import java.nio.file.Path
import kotlin.time.Duration.Companion.seconds

/** Records the classes that an edge gateway loads while it serves calls of each kind, also without the store. */
class EdgeClassRecorder(
    private val output: Path,
) {
    /** Writes the list for the class archive to [output]. */
    suspend fun run() {
        val store = RowStoreStandIn()
        store.start()
        val load = ProgramLoad(store)
        load.start()
        val recorded = Files.createTempFile("edge-classes", ".lst")
        val gateways =
            listOf(
                EdgeProcess(0, store, listOf("-Xshare:off", "-XX:DumpLoadedClassList=$recorded")),
                EdgeProcess(1, store),
            )
        val urls = gateways.map { it.callerUrl }
        try {
            gateways.forEach { gateway -> until { gateway.isReady } }
            delay(SETTLE)
            val before = List(PROGRAMS) { load.program(urls) }.flatten()
            store.fault = StoreFault.REFUSE
            val during = List(PROGRAMS) { load.program(urls) }.flatten()
            delay(SETTLE)
            store.fault = StoreFault.NONE
            delay(SETTLE)
            val after = List(PROGRAMS) { load.program(urls) }.flatten()
            gateways.forEach { it.stop() }
            println("statuses before, during and after an outage: ${before.toSet()} ${during.toSet()} ${after.toSet()}")
            Files.writeString(output, Files.readString(recorded))
        } finally {
            gateways.forEach { it.close() }
            load.stop()
            store.stop()
        }
    }

    private companion object {
        const val PROGRAMS = 5
        val SETTLE = 2.seconds
    }
}
