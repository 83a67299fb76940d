package org.chestnutloom.fakes.experiment

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.put
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.isSuccess
import kotlinx.coroutines.delay
import org.chestnutloom.fakes.http.standInJson
import org.chestnutloom.fakes.platform.TableStats
import org.chestnutloom.fakes.record.RequestRecords
import org.chestnutloom.store.Transaction
import org.chestnutloom.store.VmEntry
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** HTTP client that sets up a fleet and reads the logs and statistics of its stand-ins. */
internal class FleetClient : AutoCloseable {
    private val http = HttpClient(CIO)

    suspend fun transact(
        tableUrl: String,
        transaction: Transaction,
    ) {
        val response = http.post("$tableUrl/v1/transact") { setBody(standInJson.encodeToString(transaction)) }
        if (!response.status.isSuccess()) {
            throw FleetSetupException(
                "the table service rejected the environment: ${response.status}",
            )
        }
    }

    suspend fun registerVm(
        vmListUrl: String,
        entry: VmEntry,
    ) {
        http.put("$vmListUrl/admin/vms/${entry.id}") { setBody(standInJson.encodeToString(entry)) }
    }

    /**
     * Waits until the node with the administrative address [url] is ready.
     *
     * @throws FleetSetupException if the node is not ready within [timeout]
     */
    suspend fun awaitReady(
        url: String,
        timeout: Duration,
    ) {
        repeat((timeout / POLL_INTERVAL).toInt()) {
            if (isReady(url)) return
            delay(POLL_INTERVAL)
        }
        throw FleetSetupException("$url is not ready after $timeout")
    }

    suspend fun requests(url: String): RequestRecords = read("$url/admin/log")

    suspend fun tableStats(url: String): TableStats = read("$url/admin/stats")

    suspend inline fun <reified T> read(url: String): T = standInJson.decodeFromString(http.get(url).bodyAsText())

    override fun close() {
        http.close()
    }

    private suspend fun isReady(url: String): Boolean =
        try {
            http.get("$url/ready").status.isSuccess()
        } catch (_: IOException) {
            false
        }

    private companion object {
        val POLL_INTERVAL = 100.milliseconds
    }
}
