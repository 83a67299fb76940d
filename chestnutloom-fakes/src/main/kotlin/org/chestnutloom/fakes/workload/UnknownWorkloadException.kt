package org.chestnutloom.fakes.workload

/** Tells that no workload has the name that was asked for, and that there is no such file. */
internal class UnknownWorkloadException(
    val name: String,
) : Exception("there is no workload called $name and no such file")
