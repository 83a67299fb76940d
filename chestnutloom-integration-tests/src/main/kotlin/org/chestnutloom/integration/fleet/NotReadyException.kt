package org.chestnutloom.integration.fleet

/** Thrown when process [name] does not become ready in time; [output] is the path of its output. */
class NotReadyException(
    name: String,
    output: String,
) : Exception("$name did not become ready in time; see its output in $output")
