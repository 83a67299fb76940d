package org.chestnutloom.integration.proof

import io.ktor.http.HttpMethod
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import org.chestnutloom.fakes.record.RequestRecord
import org.chestnutloom.integration.fleet.Fleet
import org.chestnutloom.integration.fleet.FleetOptions
import org.chestnutloom.integration.fleet.TEST_SERVICE
import org.chestnutloom.integration.program.ProgramDriver
import org.chestnutloom.mechanism.Mechanism
import kotlin.random.Random

/** Sends access keys in headers, bodies and query strings, in calls that succeed and calls that fail. */
class KeyStrippingProof : Proof {
    override val name = "key-stripping"
    override val mechanisms = setOf(Mechanism.KEY_STRIPPING)
    override val options = FleetOptions(gateways = 2, engines = 1, toolServices = 1)

    override suspend fun violations(
        fleet: Fleet,
        random: Random,
    ): List<Violation> {
        val key = fleet.createKey("hospital").bearer
        fleet.gateways.indices.forEach { send(fleet, key, it) }
        val records = fleet.requestsOf(fleet.engines + fleet.tools)
        val leaks = records.filter { containsKey(it, key) }
        return listOfNotNull(
            Violation("targets receive the calls", "none").takeIf { records.isEmpty() },
            Violation(
                "no target receives a caller's key",
                leaks.joinToString { it.path + it.headers },
            ).takeIf { leaks.isNotEmpty() },
        )
    }

    private suspend fun send(
        fleet: Fleet,
        key: String,
        gateway: Int,
    ) {
        val program = ProgramDriver(fleet.caller, { fleet.gatewayUrls }, key, gateway)
        program.open("stripping-$gateway")
        program.runModelTurn(1, "my key is $key, keep it")
        program.sendOnce(
            gateway,
            HttpMethod.Post,
            "/v1/programs/${program.id}/turns/2",
            toolBody(key, failStatus = 500),
        )
        program.sendOnce(
            gateway,
            HttpMethod.Post,
            "/v1/programs/${program.id}/turns/3",
            toolBody(key, failStatus = null),
        )
        fleet.caller.send(fleet.gatewayUrls[gateway], HttpMethod.Get, "/open/hours?key=$key", key)
    }

    private fun toolBody(
        key: String,
        failStatus: Int?,
    ) = buildJsonObject {
        put("kind", "tool")
        put("service", TEST_SERVICE)
        put("method", "POST")
        put("path", "/pay?token=$key")
        put("idempotent", true)
        putJsonObject("body") {
            put("authorization", "Bearer $key")
            failStatus?.let { put("fail_status", it) }
        }
    }

    private fun containsKey(
        record: RequestRecord,
        key: String,
    ): Boolean {
        val secret = key.substringAfterLast('_')
        val inHeaders = record.headers.any { (_, values) -> values.any { secret in it } }
        return secret in record.body || secret in record.path || inHeaders
    }
}
