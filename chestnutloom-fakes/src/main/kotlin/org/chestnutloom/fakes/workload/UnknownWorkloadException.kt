package org.chestnutloom.fakes.workload

/** Thrown if [name] is neither a bundled workload nor a file. */
internal class UnknownWorkloadException(
    val name: String,
) : Exception("unknown workload $name: neither a bundled workload nor a file")
