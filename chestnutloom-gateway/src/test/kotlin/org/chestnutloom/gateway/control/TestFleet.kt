package org.chestnutloom.gateway.control

import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import org.chestnutloom.config.AccessKey
import org.chestnutloom.config.ConfigHead
import org.chestnutloom.config.ConfigRecord
import org.chestnutloom.config.KeyChange
import org.chestnutloom.config.KeyRecord
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.Incarnation
import org.chestnutloom.mechanism.Mechanisms
import org.chestnutloom.store.Condition
import org.chestnutloom.store.Row
import org.chestnutloom.store.RowWrite
import org.chestnutloom.store.Transaction
import org.chestnutloom.store.decodeOrNull
import org.chestnutloom.store.memoryObjectStore
import org.chestnutloom.store.memoryTableStore
import org.chestnutloom.store.rowJson
import org.chestnutloom.time.Clock
import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal const val ENVIRONMENT = "trial"

/** Runs several control planes in one process against one in-memory store, in the virtual time of [test]. */
internal class TestFleet(
    private val test: TestScope,
) {
    val table = memoryTableStore()
    val objects = memoryObjectStore()
    val gateways = mutableMapOf<String, TestGateway>()
    val clock =
        object : Clock {
            override fun now(): Instant = Instant.ofEpochMilli(test.currentTime)

            override fun elapsed(): Duration = test.currentTime.milliseconds
        }

    /** Starts the control plane of gateway [id]; a previous one with the same id must have stopped. */
    suspend fun start(
        id: String,
        incarnation: String = "1",
        mechanisms: Mechanisms = Mechanisms.ALL,
    ): TestGateway {
        val gateway = TestGateway(this, test, id, Incarnation(incarnation), mechanisms)
        gateways[id] = gateway
        gateway.plane.start(gateway.address)
        return gateway
    }

    suspend fun write(
        key: String,
        value: String,
        version: Long? = null,
    ) {
        val conditions = listOfNotNull(version?.let { Condition(key, it) })
        table.transact(Transaction(conditions, listOf(RowWrite(key, value))))
    }

    suspend fun row(key: String): Row? = table.read(listOf(key)).getOrNull()?.firstOrNull()

    suspend fun head(): ConfigHead = row(ConfigHead.rowKey(ENVIRONMENT))?.decodeOrNull<ConfigHead>() ?: ConfigHead(0, 0)

    /** Stores [document] as the next accepted configuration version, in the format of [TestDecoder]. */
    suspend fun accept(document: String) {
        val head = head()
        val version = head.configVersion + 1
        val record = ConfigRecord(version, "digest", document, "operator", 0)
        write(ConfigRecord.rowKey(ENVIRONMENT, version), rowJson.encodeToString(record))
        write(ConfigHead.rowKey(ENVIRONMENT), rowJson.encodeToString(head.copy(configVersion = version)))
    }

    suspend fun createKey(account: String): AccessKey {
        val key = AccessKey.generate()
        changeKey(key.toRecord(ClientAccountId(account), 0))
        return key
    }

    suspend fun withdraw(key: AccessKey) {
        val record = row(KeyRecord.rowKey(ENVIRONMENT, key.id))?.decodeOrNull<KeyRecord>()
        changeKey(checkNotNull(record).copy(withdrawnAtMs = 1))
    }

    private suspend fun changeKey(record: KeyRecord) {
        val head = head()
        val version = head.keyVersion + 1
        write(KeyRecord.rowKey(ENVIRONMENT, record.id), rowJson.encodeToString(record))
        write(KeyChange.rowKey(ENVIRONMENT, version), rowJson.encodeToString(KeyChange(version, record.id)))
        write(ConfigHead.rowKey(ENVIRONMENT), rowJson.encodeToString(head.copy(keyVersion = version)))
    }
}
