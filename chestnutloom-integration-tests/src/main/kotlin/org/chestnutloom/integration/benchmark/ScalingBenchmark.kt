package org.chestnutloom.integration.benchmark

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.chestnutloom.config.documentDecoder
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.Incarnation
import org.chestnutloom.id.ModelName
import org.chestnutloom.id.ProgramId
import org.chestnutloom.id.TargetId
import org.chestnutloom.integration.fleet.AccountOptions
import org.chestnutloom.integration.fleet.FleetOptions
import org.chestnutloom.integration.fleet.fleetDocument
import org.chestnutloom.rate.RateLimit
import org.chestnutloom.rate.RightsHolder
import org.chestnutloom.rate.heldRights
import org.chestnutloom.route.RouteQuery
import org.chestnutloom.route.RoutingPolicyKind
import org.chestnutloom.route.TargetView
import org.chestnutloom.route.routingPolicy
import org.chestnutloom.time.systemClock
import org.chestnutloom.wire.message.LoadReport
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.measureTime

/** Measures how memory, message size and routing time scale with the number of accounts, programs and targets. */
class ScalingBenchmark {
    /** Prints one line per size. */
    fun run() {
        listOf(1_000, 9_000, 27_000).forEach(::measureAccounts)
        listOf(10, 80, 800).forEach(::measureLoadReport)
        listOf(8, 80, 750).forEach(::measureRouting)
    }

    private fun measureAccounts(count: Int) {
        val options = FleetOptions(accounts = List(count) { AccountOptions("account-$it") })
        val document = fleetDocument(options)
        repeat(WARM_UPS) { documentDecoder().decode(document) }
        val before = usedBytes()
        val settings = documentDecoder().decode(document)
        val settingsBytes = usedBytes() - before
        val duration = measureTime { documentDecoder().decode(document) }
        val rights = List(count) { heldRights(systemClock(), holder, RateLimit(RATE_PER_SECOND, BURST_REQUESTS)) }
        val rightsBytes = usedBytes() - before - settingsBytes
        // The use of settings and rights in the output keeps them reachable while their memory is measured.
        println(
            "result=accounts count=$count document_bytes=${document.length} " +
                "decode_ms=${duration.inWholeMilliseconds} " +
                "settings_bytes=$settingsBytes rights_bytes=$rightsBytes " +
                "kept=${settings.isRight() && rights.isNotEmpty()}",
        )
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun measureLoadReport(programs: Int) {
        val cached = (0 until programs).associate { ProgramId("c-5c4d683ec454bbb82181dcecd7284484$it") to it.toLong() }
        val report =
            LoadReport(
                queuedCalls = 4,
                queuedTokens = 40_000,
                runningCalls = 8,
                maxRunningCalls = 8,
                expectedWaitMs = 120,
                prefillTokensPerSecond = 9_000.0,
                models = listOf(ModelName("rattan-8b")),
                services = emptyList(),
                cachedPrograms = cached,
                inFlightHashes = emptyList(),
                crashedHashes = emptyList(),
                draining = false,
                targetReachable = true,
            )
        println(
            "result=load_report cached_programs=$programs bytes=${Cbor.encodeToByteArray(
                LoadReport.serializer(),
                report,
            ).size}",
        )
    }

    private fun measureRouting(targets: Int) {
        val random = Random(RANDOM_SEED)
        val views = List(targets) { targetView(it, random) }
        val policy = routingPolicy(RoutingPolicyKind.COST, random)
        val query = RouteQuery(promptTokens = 20_000, failureDomain = "siracusa")
        repeat(DECISION_COUNT) { policy.choose(query, views) }
        val duration = measureTime { repeat(DECISION_COUNT) { policy.choose(query, views) } }
        println(
            "result=routing targets=$targets microseconds_per_decision=%.2f".format(
                duration / DECISION_COUNT / 1.milliseconds * US_PER_MS,
            ),
        )
    }

    private fun targetView(
        index: Int,
        random: Random,
    ) = TargetView(
        id = TargetId("engine-$index"),
        failureDomain = if (index % 2 == 0) "siracusa" else "catania",
        expectedWaitMs = random.nextLong(MAX_WAIT_MS),
        callsInFlight = random.nextInt(8),
        maxRunningCalls = 8,
        sentSinceReport = 0,
        tokensSentSinceReport = 0,
        prefillTokensPerSecond = 9_000.0,
        cachedTokens = if (random.nextInt(8) == 0) 20_000L else 0L,
    )

    private fun usedBytes(): Long {
        repeat(GC_RUNS) { System.gc() }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory()
    }

    private companion object {
        val holder = RightsHolder(GatewayId("gateway-1"), Incarnation("run"))
        const val RATE_PER_SECOND = 5.0
        const val BURST_REQUESTS = 10
        const val RANDOM_SEED = 1
        const val WARM_UPS = 3
        const val GC_RUNS = 3
        const val DECISION_COUNT = 20_000
        const val MAX_WAIT_MS = 5_000L
        const val US_PER_MS = 1_000.0
    }
}
