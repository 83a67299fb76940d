package org.chestnutloom.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.flow.MutableSharedFlow
import kotlinx.coroutines.flow.MutableStateFlow
import org.chestnutloom.call.CallKind
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.config.AccountSettings
import org.chestnutloom.config.EnvironmentSettings
import org.chestnutloom.config.LimitSettings
import org.chestnutloom.config.ModelSettings
import org.chestnutloom.config.OpenRoute
import org.chestnutloom.config.ServiceSettings
import org.chestnutloom.config.TargetSettings
import org.chestnutloom.gateway.control.AdmissionControl
import org.chestnutloom.gateway.control.Caller
import org.chestnutloom.gateway.control.FreshnessProof
import org.chestnutloom.gateway.control.KeyDirectory
import org.chestnutloom.gateway.control.OwnershipTable
import org.chestnutloom.gateway.control.ProgramLocation
import org.chestnutloom.gateway.control.SettingsSource
import org.chestnutloom.gateway.control.TargetDirectory
import org.chestnutloom.gateway.control.VersionedSettings
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.KeyId
import org.chestnutloom.id.ModelName
import org.chestnutloom.id.ProgramId
import org.chestnutloom.id.TargetId
import org.chestnutloom.store.VmEntry
import org.chestnutloom.store.VmRole
import org.chestnutloom.store.VmState
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** An in-memory control plane with configurable responses. */
internal class FakeControlPlane(
    val journal: InMemoryJournal = InMemoryJournal(),
    targets: List<String> = listOf("engine-1", "engine-2", "pay-1", "pay-2"),
) : KeyDirectory,
    FreshnessProof,
    AdmissionControl,
    OwnershipTable {
    val entries = targets.map { VmEntry(it, VmRole.TARGET, "127.0.0.1", 1, "a", VmState.LIVE) }.toMutableList()
    val settings = MutableStateFlow<VersionedSettings?>(VersionedSettings(1, environment(), "document"))
    var proofRefusal: Refusal? = null
    var admissionRefusal: Refusal? = null
    var admitted = 0
    var epoch = 1L
    var location: ProgramLocation? = null
    private val withdrawn = mutableSetOf<KeyId>()
    override val withdrawals = MutableSharedFlow<KeyId>(extraBufferCapacity = 8)

    fun services(): ControlPlaneServices =
        ControlPlaneServices(
            keys = this,
            settings =
                object : SettingsSource {
                    override val current = this@FakeControlPlane.settings
                },
            proof = this,
            admission = this,
            ownership = this,
            journal = journal,
            targets = FakeTargetDirectory(entries),
        )

    suspend fun withdraw(key: KeyId) {
        withdrawn += key
        withdrawals.emit(key)
    }

    override suspend fun authenticate(bearer: String?): Either<Refusal, Caller> {
        val account = keysByBearer[bearer]
        val caller = account?.let { Caller(ClientAccountId(it), KeyId("key-$it")) }
        if (caller == null || caller.key in withdrawn) return unauthorized().left()
        return caller.right()
    }

    override fun isWithdrawn(key: KeyId): Boolean = key in withdrawn

    override fun check(): Either<Refusal, Unit> = proofRefusal?.left() ?: Unit.right()

    override fun ageMs(): Long = 0

    override suspend fun admit(account: ClientAccountId): Either<Refusal, Unit> {
        admissionRefusal?.let { return it.left() }
        admitted++
        return Unit.right()
    }

    override suspend fun locate(program: ProgramId): ProgramLocation = location ?: ProgramLocation.Local(epoch)

    override fun beginRequest(program: ProgramId) = Unit

    override fun endRequest(program: ProgramId) = Unit

    private class FakeTargetDirectory(
        private val entries: List<VmEntry>,
    ) : TargetDirectory {
        override fun targets(): List<VmEntry> = entries.toList()
    }

    companion object {
        const val WARD_BEARER = "cl_aa11_0123456789abcdef0123456789abcdef"
        const val CAFE_BEARER = "cl_bb22_fedcba9876543210fedcba9876543210"
        val keysByBearer = mapOf(WARD_BEARER to "ward", CAFE_BEARER to "cafe")

        private fun unauthorized() = Refusal(RefusalCode.UNAUTHORIZED, Execution.NOT_RUN, "No such key.")

        private fun environment(): EnvironmentSettings {
            val engine = TargetSettings(CallKind.MODEL, listOf(ModelName("m1")), 4, true)
            val service = TargetSettings(CallKind.TOOL, emptyList(), 4, false)
            val payTargets = listOf(TargetId("pay-1"), TargetId("pay-2"))
            return EnvironmentSettings(
                accounts = persistentMapOf(ClientAccountId("ward") to AccountSettings(10.0, 10, 1)),
                models = persistentMapOf(ModelName("m1") to ModelSettings(8_192, 64)),
                services = persistentMapOf("pay" to ServiceSettings(payTargets, idempotent = false)),
                targets =
                    persistentMapOf(
                        TargetId("engine-1") to engine,
                        TargetId("engine-2") to engine,
                        TargetId("pay-1") to service,
                        TargetId("pay-2") to service,
                    ),
                openRoutes = persistentListOf(OpenRoute("/hours", "GET", "pay")),
                limits = LimitSettings(20_000, 2.seconds, 5.seconds, 5.seconds, 1.seconds, 1.minutes, 0.1),
            )
        }
    }
}
