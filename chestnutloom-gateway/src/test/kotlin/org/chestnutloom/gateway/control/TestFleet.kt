package org.chestnutloom.gateway.control

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.plus
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.withTimeout
import org.chestnutloom.config.AccessKey
import org.chestnutloom.config.AccountSettings
import org.chestnutloom.config.ConfigHead
import org.chestnutloom.config.ConfigRecord
import org.chestnutloom.config.DocumentDecoder
import org.chestnutloom.config.DocumentFault
import org.chestnutloom.config.EnvironmentSettings
import org.chestnutloom.config.KeyChange
import org.chestnutloom.config.KeyRecord
import org.chestnutloom.config.LimitSettings
import org.chestnutloom.gateway.GatewaySettings
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.Incarnation
import org.chestnutloom.mechanism.Mechanisms
import org.chestnutloom.store.Condition
import org.chestnutloom.store.ObjectStore
import org.chestnutloom.store.Row
import org.chestnutloom.store.RowWrite
import org.chestnutloom.store.StoreFailure
import org.chestnutloom.store.TableStore
import org.chestnutloom.store.Transaction
import org.chestnutloom.store.VmEntry
import org.chestnutloom.store.VmList
import org.chestnutloom.store.VmRole
import org.chestnutloom.store.VmState
import org.chestnutloom.store.decodeOrNull
import org.chestnutloom.store.memoryObjectStore
import org.chestnutloom.store.memoryTableStore
import org.chestnutloom.store.rowJson
import org.chestnutloom.time.Clock
import org.chestnutloom.wire.link.PeerAddress
import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal const val ENVIRONMENT = "trial"

/** Several control planes in one process over one store, on the virtual time of [test]. */
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

    /** Starts the control plane of gateway [id]; an earlier one of the same id must be stopped. */
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

    /** Accepts [document] as the next version; see [TestDecoder] for its form. */
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

/** One control plane of a [TestFleet] with its own cuts. */
internal class TestGateway(
    val fleet: TestFleet,
    test: TestScope,
    val id: String,
    val incarnation: Incarnation,
    mechanisms: Mechanisms,
) {
    val job = Job(test.backgroundScope.coroutineContext[Job])
    val scope: CoroutineScope = test.backgroundScope + job
    val table = CuttableTable(fleet.table)
    val address = PeerAddress("10.0.0.1", id.hashCode() and 0xffff)

    /** Whether other gateways get no answer from this one. */
    var isSilent = false

    val settings =
        GatewaySettings(
            id = GatewayId(id),
            environment = ENVIRONMENT,
            failureDomain = "siracusa",
            http = PeerAddress("10.0.0.1", 0),
            link = PeerAddress("10.0.0.1", 0),
            advertised = null,
            tableUrl = "",
            objectUrl = "",
            vmListUrl = "",
            slots = 8,
            mechanisms = mechanisms,
        )
    val plane: ControlPlane =
        controlPlane(
            settings,
            incarnation,
            fleet.clock,
            SimpleMeterRegistry(),
            scope,
            table,
            CuttableObjects(fleet.objects, table),
            FleetList(fleet),
            TestDecoder,
        ) { address, peer -> TestLink(fleet, this, peer, address) }

    /** Whether the process still runs. */
    val isRunning: Boolean
        get() = job.isActive

    /** Ends the process without a farewell. */
    fun kill() {
        job.cancel()
    }
}

/** A table service that one gateway can be cut from. */
internal class CuttableTable(
    private val table: TableStore,
) : TableStore {
    var isCut = false

    override suspend fun read(keys: List<String>): Either<StoreFailure, List<Row>> = unlessCut { table.read(keys) }

    override suspend fun scan(
        prefix: String,
        afterKey: String?,
        limit: Int,
    ) = unlessCut { table.scan(prefix, afterKey, limit) }

    override suspend fun transact(transaction: Transaction) = unlessCut { table.transact(transaction) }

    private suspend fun <T> unlessCut(work: suspend () -> Either<StoreFailure, T>): Either<StoreFailure, T> =
        if (isCut) StoreFailure.Unavailable("cut").left() else work()
}

internal class CuttableObjects(
    private val objects: ObjectStore,
    private val table: CuttableTable,
) : ObjectStore {
    override suspend fun put(
        name: String,
        bytes: ByteArray,
    ) = if (table.isCut) StoreFailure.Unavailable("cut").left() else objects.put(name, bytes)

    override suspend fun get(name: String) =
        if (table.isCut) StoreFailure.Unavailable("cut").left() else objects.get(name)
}

internal class FleetList(
    private val fleet: TestFleet,
) : VmList {
    override suspend fun read(): Either<StoreFailure, List<VmEntry>> =
        fleet.gateways.values
            .map { VmEntry(it.id, VmRole.GATEWAY, it.address.host, it.address.port, "siracusa", VmState.LIVE) }
            .right()
}

/** Decodes `account=rate/burst` words; the word `broken` is a fault. */
internal object TestDecoder : DocumentDecoder {
    private val limits = LimitSettings(1, 1.seconds, 1.seconds, 1.seconds, 1.seconds, 1.seconds, 0.1)

    override fun decode(text: String): Either<ImmutableList<DocumentFault>, EnvironmentSettings> {
        if (text == "broken") return persistentListOf(DocumentFault("accounts", 1, "broken")).left()
        val accounts =
            text.split(' ').associate {
                val (name, rate, burst) = it.split('=', '/')
                ClientAccountId(name) to AccountSettings(rate.toDouble(), burst.toInt(), 1)
            }
        return EnvironmentSettings(
            accounts.toPersistentMap(),
            persistentMapOf(),
            persistentMapOf(),
            persistentMapOf(),
            persistentListOf(),
            limits,
        ).right()
    }
}

/** Waits on virtual time until [condition] holds. */
internal suspend fun eventually(
    within: Duration = 60.seconds,
    condition: suspend () -> Boolean,
) {
    withTimeout(within) {
        while (!condition()) delay(10.milliseconds)
    }
}
