package org.chestnutloom.integration.proof

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.chestnutloom.integration.fleet.AccountOptions
import org.chestnutloom.integration.fleet.Fleet
import org.chestnutloom.integration.fleet.FleetOptions
import org.chestnutloom.integration.fleet.fleetDocument
import org.chestnutloom.mechanism.Mechanism
import java.nio.file.Files
import kotlin.random.Random

/** Lets several operators change the same version of the settings document concurrently. */
class RacingOperatorsProof : Proof {
    override val name = "racing-operators"
    override val mechanisms = setOf(Mechanism.CONFIG_COMPARE_AND_SET)
    override val options = FleetOptions(gateways = 2, engines = 1, toolServices = 1)

    override suspend fun violations(
        fleet: Fleet,
        random: Random,
    ): List<Violation> {
        val exitCodes =
            coroutineScope { List(OPERATORS) { index -> async { change(fleet, index) } }.awaitAll() }
        val accepted = exitCodes.count { it == ACCEPTED || it == OUTSTANDING }
        val refused = exitCodes.count { it == CONFLICT }
        println("racing-operators exit codes=$exitCodes")
        return listOfNotNull(
            Violation("concurrent changes never overwrite each other", "$accepted accepted").takeIf { accepted != 1 },
            Violation("losing changes fail with a conflict", "$exitCodes").takeIf { refused != OPERATORS - 1 },
        ) + gatewaysWithoutChange(fleet)
    }

    private suspend fun change(
        fleet: Fleet,
        operator: Int,
    ): Int {
        val accounts = fleet.options.accounts + AccountOptions("ward-$operator")
        val file = Files.createTempFile(fleet.directory, "change-", ".conf")
        Files.writeString(file, fleetDocument(fleet.options.copy(accounts = accounts)))
        val arguments =
            listOf("apply", file.toString(), "--base-version", "1", "--author", "operator-$operator") +
                listOf("--environment", Fleet.ENVIRONMENT) + disabledFlags(fleet)
        return fleet.cli.run(*arguments.toTypedArray()).exitCode
    }

    private fun disabledFlags(fleet: Fleet): List<String> =
        if (fleet.options.disabled.isEmpty()) {
            emptyList()
        } else {
            listOf(
                "--unsafe-disable",
                fleet.options.disabled.joinToString(","),
            )
        }

    private suspend fun gatewaysWithoutChange(fleet: Fleet): List<Violation> {
        val rows =
            fleet.admin
                .read(
                    "${fleet.table.url}/admin/rows?prefix=gateway/",
                ).jsonObject
                .getValue("rows")
                .jsonArray
        return rows.mapNotNull { row ->
            val value =
                row.jsonObject
                    .getValue("value")
                    .jsonPrimitive.content
            Violation("every gateway applies an accepted change", value).takeUnless { "\"configVersion\":2" in value }
        }
    }

    private companion object {
        const val OPERATORS = 3
        const val ACCEPTED = 0
        const val CONFLICT = 3
        const val OUTSTANDING = 5
    }
}
