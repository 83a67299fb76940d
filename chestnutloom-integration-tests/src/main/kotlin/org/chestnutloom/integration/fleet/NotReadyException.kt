package org.chestnutloom.integration.fleet

/** The process [name] did not become ready; what it wrote stands in [output]. */
class NotReadyException(
    name: String,
    output: String,
) : Exception("$name is not ready, see $output")
