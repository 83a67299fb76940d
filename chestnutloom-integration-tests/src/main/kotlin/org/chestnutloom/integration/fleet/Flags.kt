package org.chestnutloom.integration.fleet

/** Returns command-line flags of the form `--name value`. */
internal fun flags(vararg values: Pair<String, Any>): List<String> =
    values.flatMap { (name, value) -> listOf("--$name", value.toString()) }
