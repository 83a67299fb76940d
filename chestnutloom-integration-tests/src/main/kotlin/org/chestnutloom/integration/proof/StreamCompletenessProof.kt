package org.chestnutloom.integration.proof

import io.ktor.http.HttpMethod
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.chestnutloom.fakes.engine.GeneratedText
import org.chestnutloom.integration.caller.CallerResponse
import org.chestnutloom.integration.fleet.Fleet
import org.chestnutloom.integration.fleet.FleetOptions
import org.chestnutloom.integration.fleet.TEST_MODEL
import org.chestnutloom.integration.program.ProgramDriver
import org.chestnutloom.integration.program.StreamText
import org.chestnutloom.mechanism.Mechanism
import kotlin.random.Random

/** Cuts connections between engine and sidecar, and between sidecar and gateway, while many streams run. */
class StreamCompletenessProof : Proof {
    override val name = "whole-answer"
    override val mechanisms = setOf(Mechanism.STREAM_COMPLETENESS)
    override val options =
        FleetOptions(gateways = 2, engines = 1, toolServices = 1, proxied = true, decodeMsPerStep = 10.0)

    override suspend fun violations(
        fleet: Fleet,
        random: Random,
    ): List<Violation> {
        val key = fleet.createKey("hospital").bearer
        return cutAtEngine(fleet, key, random) + cutAtLink(fleet, key, random)
    }

    private suspend fun cutAtEngine(
        fleet: Fleet,
        key: String,
        random: Random,
    ): List<Violation> {
        val url = fleet.engines.first().directUrl
        val afterChunks = random.nextInt(1, COMPLETION_TOKENS - 1)
        fleet.admin.setFault(url, "cut_stream", count = FAULT_COUNT, afterChunks = afterChunks)
        val violations = sendAll(fleet, key, "engine")
        fleet.admin.setFault(url, "ok")
        return violations
    }

    private suspend fun cutAtLink(
        fleet: Fleet,
        key: String,
        random: Random,
    ): List<Violation> {
        val cutAfter = random.nextLong(MIN_CUT_BYTES, MAX_CUT_BYTES)
        fleet.proxy?.setFault("engine-1-link", "cut", count = FAULT_COUNT, afterBytes = cutAfter)
        val violations = sendAll(fleet, key, "link")
        fleet.proxy?.setFault("engine-1-link", "pass")
        return violations
    }

    private suspend fun sendAll(
        fleet: Fleet,
        key: String,
        label: String,
    ): List<Violation> =
        coroutineScope {
            val violations = List(STREAM_COUNT) { index -> async { send(fleet, key, "$label $index.", index) } }
            violations.awaitAll().filterNotNull()
        }

    private suspend fun send(
        fleet: Fleet,
        key: String,
        message: String,
        gateway: Int,
    ): Violation? {
        val program = ProgramDriver(fleet.caller, { fleet.gatewayUrls }, key, gateway)
        program.open("whole-$message".filter { it.isLetterOrDigit() })
        val body = ProgramDriver.modelBody(message, COMPLETION_TOKENS, stream = true)
        val response = program.sendOnce(gateway, HttpMethod.Post, "/v1/programs/${program.id}/turns/1", body)
        val complete = response as? CallerResponse.Complete ?: return null
        val isReported = complete.error != null || complete.isIncompleteStream
        val isExpected = StreamText.of(complete) == GeneratedText.full(TEST_MODEL, message, COMPLETION_TOKENS)
        if (isReported || isExpected) return null
        return Violation("a truncated response is never reported as complete", "$message $complete")
    }

    private companion object {
        const val STREAM_COUNT = 16
        const val COMPLETION_TOKENS = 20
        const val FAULT_COUNT = 4
        const val MIN_CUT_BYTES = 500L
        const val MAX_CUT_BYTES = 4_000L
    }
}
