package org.chestnutloom.integration.fleet

/** The only model of test environments. */
const val TEST_MODEL: String = "rattan-8b"

/** The tool service of test environments that requires an access key. */
const val TEST_SERVICE: String = "cane-payments"

/** The tool service of test environments that is reached by an open route. */
const val OPEN_SERVICE: String = "opening-hours"

/** Returns the settings document of a fleet with [options]. */
fun fleetDocument(options: FleetOptions): String =
    buildString {
        appendLine("accounts {")
        options.accounts.forEach { appendLine(accountLine(it)) }
        appendLine("}")
        appendLine("models { $TEST_MODEL { context_tokens = 470000, max_completion_tokens = 512 } }")
        appendLine("services {")
        appendLine("  $TEST_SERVICE { targets = [${toolNames(options)}], idempotent = false }")
        appendLine("  $OPEN_SERVICE { targets = [${toolNames(options)}], idempotent = true }")
        appendLine("}")
        appendLine("targets {")
        repeat(options.engines) { appendLine(engineLine(it, options)) }
        repeat(options.toolServices) { appendLine("  ${toolName(it)} { kind = tool, max_running = 16 }") }
        appendLine("}")
        appendLine("open_routes = [ { path = /hours, method = GET, service = $OPEN_SERVICE } ]")
        appendLine("limits { queue_timeout_ms = 20000 }")
    }

/** Returns the target id of engine [index]. */
fun engineName(index: Int): String = "engine-${index + 1}"

/** Returns the target id of tool service [index]. */
fun toolName(index: Int): String = "tool-${index + 1}"

/** Returns the id of gateway [index]. */
fun gatewayName(index: Int): String = "gateway-${index + 1}"

private fun toolNames(options: FleetOptions): String = (0 until options.toolServices).joinToString { toolName(it) }

private fun accountLine(account: AccountOptions): String =
    "  ${account.name} { rate_per_second = ${account.ratePerSecond}, burst = ${account.burst}, weight = ${account.weight} }"

private fun engineLine(
    index: Int,
    options: FleetOptions,
): String =
    "  ${engineName(index)} { kind = model, models = [$TEST_MODEL], " +
        "max_running = ${options.maxRunning}, verifies_orders = ${options.verifyOrders} }"
